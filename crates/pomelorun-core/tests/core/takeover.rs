//! Injects single faults at each step of a non-idempotent request, pairs of faults, and random
//! faults in long runs. The simulated network asserts on each packet that no non-idempotent
//! request runs twice and that a request reported as "not run" has not run.

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
    FreezePrimaryBriefly,
    LeavePrimary,
    CutZone,
    Loss,
    DuplicatesAndJitter,
}

const FAULTS: [Fault; 11] = [
    Fault::CrashPrimary,
    Fault::CrashBackup,
    Fault::RestartPrimary,
    Fault::RestartBackup,
    Fault::FreezePrimary,
    Fault::FreezeBackup,
    Fault::FreezePrimaryBriefly,
    Fault::LeavePrimary,
    Fault::CutZone,
    Fault::Loss,
    Fault::DuplicatesAndJitter,
];

/// Milliseconds between a request and its response when nothing fails. Injecting a fault after
/// each millisecond covers each step of the request: relayed, record sent, record stored,
/// forwarded, running, answered.
const STEPS: u64 = 14;

/// Returns a deployment of two zones: `hosts` hosts in the first and one in the second.
fn shape(hosts: usize) -> Shape {
    Shape {
        zones: vec!["bog-a", "mde-a"],
        hosts: vec![hosts, 1],
        upstreams: 4,
        slots: 3,
        service_ms: 4,
    }
}

struct Scenario {
    mesh: Mesh,
    primary: usize,
    backup: usize,
    flows: Vec<u32>,
    requests: Vec<(u32, u32)>,
}

impl Scenario {
    /// Starts a deployment with `hosts` hosts in the first zone, warms it up, and selects the
    /// upstream with the most flows in that zone. With a single host, faults of the backup hit the
    /// primary.
    fn new(seed: u64, hosts: usize) -> Scenario {
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
        Scenario { primary, backup, flows, requests: Vec::new(), mesh }
    }

    fn send_new(&mut self, at: usize) {
        let flow = self.flows[at % self.flows.len()];
        let req = self.mesh.request(flow, false);
        self.requests.push((flow, req));
    }

    fn resend_all(&mut self) {
        for &(flow, req) in &self.requests {
            self.mesh.send_request(flow, req);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let (primary, backup, mesh) = (self.primary, self.backup, &mut self.mesh);
        match fault {
            Fault::CrashPrimary | Fault::RestartPrimary => mesh.crash(primary),
            Fault::CrashBackup | Fault::RestartBackup => mesh.crash(backup),
            Fault::FreezePrimary | Fault::FreezePrimaryBriefly => mesh.freeze(primary),
            Fault::FreezeBackup => mesh.freeze(backup),
            Fault::LeavePrimary => mesh.leave(primary),
            Fault::CutZone => mesh.cut = vec![mesh.hosts[0].zone],
            Fault::Loss => mesh.loss = 15,
            Fault::DuplicatesAndJitter => (mesh.duplicates, mesh.jitter) = (50, 60),
        }
    }

    fn clear(&mut self, fault: Fault) {
        let (primary, backup, mesh) = (self.primary, self.backup, &mut self.mesh);
        match fault {
            Fault::RestartPrimary => mesh.restart(primary),
            Fault::RestartBackup => mesh.restart(backup),
            Fault::FreezePrimary | Fault::FreezePrimaryBriefly => mesh.thaw(primary),
            Fault::FreezeBackup => mesh.thaw(backup),
            Fault::CutZone => mesh.cut.clear(),
            Fault::Loss => mesh.loss = 0,
            Fault::DuplicatesAndJitter => (mesh.duplicates, mesh.jitter) = (0, 0),
            Fault::CrashPrimary | Fault::CrashBackup | Fault::LeavePrimary => {}
        }
    }

    /// Sends requests one millisecond apart, injects the faults, and sends each request again
    /// for as long as copies may still arrive. The faults are cleared meanwhile.
    fn run(&mut self, faults: &[Fault], count: usize) {
        for at in 0..count {
            self.send_new(at);
            self.mesh.run_for(1);
        }
        for &it in faults {
            self.inject(it);
        }
        let early = [Fault::RestartPrimary, Fault::RestartBackup];
        for (at, ms) in [60, 90, 150, 300, 500, 800, 400].into_iter().enumerate() {
            self.mesh.run_for(ms);
            for &it in faults {
                match at {
                    0 if early.contains(&it) => self.clear(it),
                    4 if it == Fault::FreezePrimaryBriefly => self.clear(it),
                    _ => {}
                }
            }
            self.resend_all();
        }
        self.mesh.run_for(1_200);
        let clears_late = |it: &&Fault| !early.contains(it) && **it != Fault::FreezePrimaryBriefly;
        for &it in faults.iter().filter(clears_late) {
            self.clear(it);
        }
        self.mesh.run_for(3_500);
    }

    /// Asserts that at least 80 percent of new requests on the upstream's flows are answered.
    fn assert_served(&mut self, what: &dyn std::fmt::Debug) {
        let before = self.mesh.callers.count(Outcome::Answered);
        for at in 0..self.flows.len() {
            self.send_new(at);
            self.mesh.run_for(15);
        }
        self.mesh.run_for(600);
        let answered = self.mesh.callers.count(Outcome::Answered) - before;
        let last = &self.requests[self.requests.len() - self.flows.len()..];
        let code = |it: &(u32, u32)| self.mesh.callers.asked[&(Mesh::flow(it.0), it.1)].code;
        let codes: Vec<u16> = last.iter().map(code).collect();
        assert!(
            answered * 10 >= self.flows.len() * 8,
            "{what:?}: too few requests answered; codes {codes:?}"
        );
    }
}

#[test]
fn request_runs_at_most_once_with_a_fault_at_any_step() {
    for fault in FAULTS {
        for step in 0..STEPS {
            let mut scenario = Scenario::new(31 + step, 3);
            scenario.send_new(0);
            scenario.mesh.run_for(step);
            scenario.run(&[fault], 0);
            let pending = scenario.mesh.callers.count(Outcome::Pending);
            assert_eq!(pending, 0, "{fault:?} after {step} ms: request has no outcome");
        }
    }
}

#[test]
fn request_runs_at_most_once_with_two_simultaneous_faults() {
    for hosts in 1..=3 {
        for (at, &one) in FAULTS.iter().enumerate() {
            for &two in &FAULTS[at + 1..] {
                let mut scenario = Scenario::new(51, hosts);
                scenario.run(&[one, two], STEPS as usize);
            }
        }
    }
}

#[test]
fn requests_are_answered_again_after_each_fault() {
    for fault in FAULTS {
        let mut scenario = Scenario::new(71, 3);
        scenario.run(&[fault], STEPS as usize);
        scenario.assert_served(&fault);
    }
}

/// Injects random faults between requests. The run depends on the seed alone.
fn random_run(seed: u64, steps: usize) -> Mesh {
    let mut mesh = Mesh::new(&Shape::consorcio(), seed);
    mesh.open_flows(0, 200);
    mesh.run_for(300);
    let mut requests: Vec<(u32, u32)> = Vec::new();
    for _ in 0..steps {
        for _ in 0..6 {
            let flow = mesh.rng.random_range(0..200);
            let idempotent = mesh.rng.random_range(0..3) == 0;
            let req = mesh.request(flow, idempotent);
            requests.push((flow, req));
            let again = requests.len().saturating_sub(mesh.rng.random_range(1..40));
            let (flow, req) = requests[again];
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
fn request_runs_at_most_once_with_random_faults() {
    for seed in 1..=16 {
        let mesh = random_run(seed, 400);
        let answered = mesh.callers.count(Outcome::Answered);
        assert!(
            answered > 200,
            "seed {seed}: only {answered} requests answered, too few for a valid run"
        );
    }
}
