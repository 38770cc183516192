//! A proxy between the first daemon and the two others, which drops everything while it is cut.
//!
//! Each daemon sends to the other daemons at the port that it uses itself. The first one uses another
//! port than the others, so that both sides reach the proxy, which writes the addresses that they expect.

use std::{
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

pub fn start(
    ips: [Ipv4Addr; 3],
    port: u16,
    first_port: u16,
    cut: &Arc<AtomicBool>,
) -> std::io::Result<()> {
    let first = Arc::new(UdpSocket::bind((ips[0], port))?);
    let others: Vec<Arc<UdpSocket>> = ips[1..]
        .iter()
        .map(|ip| UdpSocket::bind((*ip, first_port)).map(Arc::new))
        .collect::<Result<_, _>>()?;
    for (at, socket) in others.iter().cloned().enumerate() {
        let to = SocketAddrV4::new(ips[at + 1], port);
        let (first, cut) = (first.clone(), cut.clone());
        std::thread::spawn(move || {
            let mut buf = [0; 8_192];
            while let Ok((len, _)) = socket.recv_from(&mut buf) {
                if !cut.load(Ordering::SeqCst) {
                    let _ = first.send_to(&buf[..len], to);
                }
            }
        });
    }
    let to_first = SocketAddrV4::new(ips[0], first_port);
    {
        let cut = cut.clone();
        std::thread::spawn(move || {
            let mut buf = [0; 8_192];
            while let Ok((len, from)) = first.recv_from(&mut buf) {
                let sender = (1..3).find(|it| IpAddr::V4(ips[*it]) == from.ip());
                if let Some(at) = sender
                    && !cut.load(Ordering::SeqCst)
                {
                    let _ = others[at - 1].send_to(&buf[..len], to_first);
                }
            }
        });
    }
    forward_streams(SocketAddrV4::new(ips[0], port), to_first, cut)?;
    for ip in &ips[1..] {
        forward_streams(SocketAddrV4::new(*ip, first_port), SocketAddrV4::new(*ip, port), cut)?;
    }
    Ok(())
}

fn forward_streams(
    from: SocketAddrV4,
    to: SocketAddrV4,
    cut: &Arc<AtomicBool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(from)?;
    let cut = cut.clone();
    std::thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let cut = cut.clone();
            std::thread::spawn(move || {
                let Ok(outbound) = TcpStream::connect(to) else { return };
                let (Ok(a), Ok(b)) = (inbound.try_clone(), outbound.try_clone()) else { return };
                let back = cut.clone();
                std::thread::spawn(move || copy(b, a, &back));
                copy(inbound, outbound, &cut);
            });
        }
    });
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buf = [0; 65_536];
    while let Ok(len) = from.read(&mut buf) {
        while cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        if len == 0 || to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
