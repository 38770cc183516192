//! Faults at each step of non-idempotent requests, alone and two at once, and long random runs.
//! The mesh asserts as packets pass that none runs twice and that "not run" is true.

use std::net::SocketAddrV4;

use pomelorun_core::rendezvous_score;
use pomelorun_wire::UpstreamId;
use rand::RngExt;

use crate::mesh::{Mesh, Outcome, Shape};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    CrashPrimary,
    CrashBackup,
    RestartPrimary,
    RestartBackup,
    FreezePrimary,
    FreezeBackup,
    NapPrimary,
    LeavePrimary,
    CutZone,
    Loss,
    Copies,
}

const FAULTS: [Fault; 11] = [
    Fault::CrashPrimary,
    Fault::CrashBackup,
    Fault::RestartPrimary,
    Fault::RestartBackup,
    Fault::FreezePrimary,
    Fault::FreezeBackup,
    Fault::NapPrimary,
    Fault::LeavePrimary,
    Fault::CutZone,
    Fault::Loss,
    Fault::Copies,
];

/// Milliseconds from the caller's sending to its answer when nothing fails; a fault after each of
/// them hits the request at each step: relayed, record sent, record held, forwarded, running,
/// answered.
const STEPS: u64 = 14;

/// Two zones, the first with some hosts.
fn shape(hosts: usize) -> Shape {
    Shape {
        zones: vec!["bog-a", "mde-a"],
        hosts: vec![hosts, 1],
        upstreams: 4,
        slots: 3,
        service_ms: 4,
    }
}

struct Trial {
    mesh: Mesh,
    primary: usize,
    backup: usize,
    flows: Vec<u32>,
    asked: Vec<(u32, u32)>,
}

impl Trial {
    /// A steady deployment and the flows of one upstream of the first zone, which has some hosts;
    /// with one alone, the faults of the backup are the primary's.
    fn new(seed: u64, hosts: usize) -> Trial {
        const FLOWS: u32 = 48;
        let mut mesh = Mesh::new(&shape(hosts), seed);
        mesh.open_flows(0, FLOWS);
        mesh.run_for(300);
        for flow in (0..FLOWS).cycle().take(400) {
            mesh.request(flow, true);
            mesh.run_for(3);
        }
        mesh.run_for(600);
        let zone = mesh.hosts[0].zone;
        let busiest = mesh.upstreams.iter().filter(|it| it.1.zone == zone);
        let (addr, id): (SocketAddrV4, UpstreamId) = busiest
            .max_by_key(|it| it.1.sessions.len())
            .map(|it| (*it.0, it.1.id))
            .expect("the zone has upstreams");
        let mut ranked: Vec<usize> = (0..hosts).collect();
        ranked.sort_by_key(|&at| rendezvous_score(mesh.hosts[at].id.0, u64::from(id.0)));
        let sessions = &mesh.upstreams[&addr].sessions;
        let flows = (0..FLOWS).filter(|&it| sessions.contains(&Mesh::flow(it))).collect();
        let (primary, backup) = (ranked[hosts - 1], ranked[hosts.saturating_sub(2)]);
        Trial { primary, backup, flows, asked: Vec::new(), mesh }
    }

    fn ask(&mut self, at: usize) {
        let flow = self.flows[at % self.flows.len()];
        let req = self.mesh.request(flow, false);
        self.asked.push((flow, req));
    }

    fn ask_again(&mut self) {
        for &(flow, req) in &self.asked {
            self.mesh.send_request(flow, req);
        }
    }

    fn strike(&mut self, fault: Fault) {
        let (primary, backup, mesh) = (self.primary, self.backup, &mut self.mesh);
        match fault {
            Fault::CrashPrimary | Fault::RestartPrimary => mesh.crash(primary),
            Fault::CrashBackup | Fault::RestartBackup => mesh.crash(backup),
            Fault::FreezePrimary | Fault::NapPrimary => mesh.freeze(primary),
            Fault::FreezeBackup => mesh.freeze(backup),
            Fault::LeavePrimary => mesh.leave(primary),
            Fault::CutZone => mesh.cut = vec![mesh.hosts[0].zone],
            Fault::Loss => mesh.loss = 15,
            Fault::Copies => (mesh.duplicates, mesh.jitter) = (50, 60),
        }
    }

    fn heal(&mut self, fault: Fault) {
        let (primary, backup, mesh) = (self.primary, self.backup, &mut self.mesh);
        match fault {
            Fault::RestartPrimary => mesh.restart(primary),
            Fault::RestartBackup => mesh.restart(backup),
            Fault::FreezePrimary | Fault::NapPrimary => mesh.thaw(primary),
            Fault::FreezeBackup => mesh.thaw(backup),
            Fault::CutZone => mesh.cut.clear(),
            Fault::Loss => mesh.loss = 0,
            Fault::Copies => (mesh.duplicates, mesh.jitter) = (0, 0),
            Fault::CrashPrimary | Fault::CrashBackup | Fault::LeavePrimary => {}
        }
    }

    /// Sends requests a millisecond apart, strikes, and sends copies for as long as they may
    /// still arrive; faults heal in between.
    fn run(&mut self, faults: &[Fault], requests: usize) {
        for at in 0..requests {
            self.ask(at);
            self.mesh.run_for(1);
        }
        for &it in faults {
            self.strike(it);
        }
        let quick = [Fault::RestartPrimary, Fault::RestartBackup];
        for (at, ms) in [60, 90, 150, 300, 500, 800, 400].into_iter().enumerate() {
            self.mesh.run_for(ms);
            for &it in faults {
                match at {
                    0 if quick.contains(&it) => self.heal(it),
                    4 if it == Fault::NapPrimary => self.heal(it),
                    _ => {}
                }
            }
            self.ask_again();
        }
        self.mesh.run_for(1_200);
        let heal_late = |it: &&Fault| !quick.contains(it) && **it != Fault::NapPrimary;
        for &it in faults.iter().filter(heal_late) {
            self.heal(it);
        }
        self.mesh.run_for(3_500);
    }

    /// Asserts that the upstream's flows are served again.
    fn assert_served(&mut self, what: &dyn std::fmt::Debug) {
        let before = self.mesh.callers.count(Outcome::Answered);
        for at in 0..self.flows.len() {
            self.ask(at);
            self.mesh.run_for(15);
        }
        self.mesh.run_for(600);
        let answered = self.mesh.callers.count(Outcome::Answered) - before;
        let last = &self.asked[self.asked.len() - self.flows.len()..];
        let code = |it: &(u32, u32)| self.mesh.callers.asked[&(Mesh::flow(it.0), it.1)].code;
        let codes: Vec<u16> = last.iter().map(code).collect();
        assert!(answered * 10 >= self.flows.len() * 8, "{what:?}: answers with codes {codes:?}");
    }
}

#[test]
fn no_fault_at_any_step_makes_a_request_run_twice() {
    for fault in FAULTS {
        for step in 0..STEPS {
            let mut trial = Trial::new(31 + step, 3);
            trial.ask(0);
            trial.mesh.run_for(step);
            trial.run(&[fault], 0);
            let pending = trial.mesh.callers.count(Outcome::Pending);
            assert_eq!(pending, 0, "{fault:?} after {step} ms: no final answer");
        }
    }
}

#[test]
fn no_two_faults_at_once_make_a_request_run_twice() {
    for hosts in 1..=3 {
        for (at, &one) in FAULTS.iter().enumerate() {
            for &two in &FAULTS[at + 1..] {
                let mut trial = Trial::new(51, hosts);
                trial.run(&[one, two], STEPS as usize);
            }
        }
    }
}

#[test]
fn requests_are_served_again_after_each_fault() {
    for fault in FAULTS {
        let mut trial = Trial::new(71, 3);
        trial.run(&[fault], STEPS as usize);
        trial.assert_served(&fault);
    }
}

/// Faults at random moments; what happens is a function of the seed alone.
fn random_run(seed: u64, steps: usize) -> Mesh {
    let mut mesh = Mesh::new(&Shape::consorcio(), seed);
    mesh.open_flows(0, 200);
    mesh.run_for(300);
    let mut asked: Vec<(u32, u32)> = Vec::new();
    for _ in 0..steps {
        for _ in 0..6 {
            let flow = mesh.rng.random_range(0..200);
            let idempotent = mesh.rng.random_range(0..3) == 0;
            let req = mesh.request(flow, idempotent);
            asked.push((flow, req));
            let again = asked.len().saturating_sub(mesh.rng.random_range(1..40));
            let (flow, req) = asked[again];
            mesh.send_request(flow, req);
            let ms = mesh.rng.random_range(1..9);
            mesh.run_for(ms);
        }
        let host = mesh.rng.random_range(0..mesh.hosts.len());
        let up = mesh.hosts.iter().filter(|it| it.up && !it.frozen).count();
        let pick = mesh.rng.random_range(0..24);
        match pick {
            0 if up > 4 && mesh.hosts[host].up && !mesh.hosts[host].frozen => mesh.crash(host),
            1 | 2 if !mesh.hosts[host].up => mesh.restart(host),
            3 if up > 4 && mesh.hosts[host].up => mesh.freeze(host),
            4..=6 if mesh.hosts[host].frozen && mesh.hosts[host].up => mesh.thaw(host),
            7 => mesh.cut = vec![mesh.hosts[host].zone],
            8 | 9 => mesh.cut.clear(),
            10 => mesh.loss = mesh.rng.random_range(0..15),
            11 => mesh.duplicates = mesh.rng.random_range(0..40),
            12 => mesh.jitter = mesh.rng.random_range(0..60),
            13 => mesh.list(),
            _ => {}
        }
    }
    mesh
}

#[test]
fn random_faults_never_make_a_request_run_twice() {
    for seed in 1..=16 {
        let mesh = random_run(seed, 400);
        let answered = mesh.callers.count(Outcome::Answered);
        assert!(answered > 200, "seed {seed}: only {answered} answered, nothing is shown");
    }
}
