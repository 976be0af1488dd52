//! All steps that a state of the model allows.
use jayrack_config::{plan, sync::Input};

use super::{CLOCK_STEP_MS, Defect, NODES, PLANS, World};
use crate::support::operator;

impl World {
    /// All states that one step leads to.
    pub fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        self.operator_steps(&mut next);
        self.log_steps(&mut next);
        self.network_steps(&mut next);
        self.process_steps(&mut next);
        next
    }

    fn step(&self, next: &mut Vec<World>, label: String, change: impl FnOnce(&mut World)) {
        let mut world = self.clone();
        world.depth += 1;
        world.label = label;
        change(&mut world);
        world.check();
        world.fingerprint = world.fingerprint();
        next.push(world);
    }

    /// Each operator confirms a plan through daemon 2 or 3 and may then drop it, without an answer of the log.
    fn operator_steps(&self, next: &mut Vec<World>) {
        for (index, plan_id) in PLANS.iter().enumerate().take(self.faults.operators) {
            let node = index + 2;
            if !self.nodes[node].sync.is_ready() {
                continue;
            }
            let state = self.nodes[node].sync.state();
            let shop = operator("shop");
            let record_id = format!("{plan_id}-{}", self.operators[index]);
            let (name, text) = match self.operators[index] {
                0 => ("confirms", plan::confirm(state, &shop, plan_id, &record_id)),
                1 if index == 0 => ("drops", plan::drop_plan(state, &shop, plan_id, &record_id)),
                _ => continue,
            };
            let Ok(text) = text else { continue };
            self.step(
                next,
                format!("operator {name} {plan_id} at daemon {node}"),
                |world| {
                    world.operators[index] += 1;
                    world.in_flight.insert(text);
                    let now_ms = world.now_ms;
                    let tracker = &mut world.nodes_mut(node).tracker;
                    tracker.start(&record_id, plan_id, now_ms);
                    if world.defect == Some(Defect::LostIsFailed) {
                        world.nodes_mut(node).tracker.refused(&record_id);
                    }
                    if world.defect == Some(Defect::DropUnfolded) && name == "drops" {
                        world.reported.insert(plan_id.to_string(), "Dropped");
                    }
                },
            );
        }
    }

    fn log_steps(&self, next: &mut Vec<World>) {
        for text in &self.in_flight {
            self.step(next, format!("log stores {text}"), |world| {
                world.in_flight.remove(text);
                world.store(text.clone());
            });
            if self.faults.duplicates > 0 {
                self.step(
                    next,
                    format!("log stores {text}, which is sent again"),
                    |world| {
                        world.faults.duplicates -= 1;
                        world.store(text.clone());
                    },
                );
            }
        }
        let end = self.records.len() as u64 + 1;
        if self.faults.expiries > 0 && self.log_first < end {
            self.step(next, "log expires all records".to_string(), |world| {
                world.faults.expiries -= 1;
                world.log_first = end;
            });
        }
        for index in 0..NODES {
            self.log_answers(index, next);
        }
    }

    fn log_answers(&self, index: usize, next: &mut Vec<World>) {
        let waiting = &self.nodes[index].waiting;
        let end = self.records.len() as u64 + 1;
        if let Some((from, is_held)) = waiting.log {
            if from < end || !is_held {
                self.step(next, format!("log answers daemon {index}"), |world| {
                    world.answer_log(index)
                });
            }
            if self.faults.log_failures > 0 {
                self.step(next, format!("log fails daemon {index}"), |world| {
                    world.faults.log_failures -= 1;
                    world.nodes_mut(index).waiting.log = None;
                    world.handle(index, Input::LogFailed);
                });
            }
        }
        if waiting.snapshots {
            self.step(
                next,
                format!("log answers daemon {index} with snapshots"),
                |world| {
                    world.nodes_mut(index).waiting.snapshots = false;
                    let records = world.snapshots.clone();
                    world.handle(index, Input::SnapshotsRead { records });
                },
            );
            if self.faults.log_failures > 0 {
                self.step(
                    next,
                    format!("log fails daemon {index} with snapshots"),
                    |world| {
                        world.faults.log_failures -= 1;
                        world.nodes_mut(index).waiting.snapshots = false;
                        world.handle(index, Input::SnapshotsFailed);
                    },
                );
            }
        }
    }

    fn network_steps(&self, next: &mut Vec<World>) {
        for (position, message) in self.network.iter().enumerate() {
            self.step(
                next,
                format!("network delivers {}", message.describe()),
                |world| {
                    let message = world.network.remove(position);
                    world.deliver(message);
                },
            );
            if self.faults.losses > 0 {
                self.step(
                    next,
                    format!("network loses {}", message.describe()),
                    |world| {
                        world.faults.losses -= 1;
                        world.network.remove(position);
                    },
                );
            }
            if self.faults.duplicates > 0 {
                self.step(
                    next,
                    format!("network delivers and keeps {}", message.describe()),
                    |world| {
                        world.faults.duplicates -= 1;
                        let message = world.network[position].clone();
                        world.deliver(message);
                    },
                );
            }
        }
        for index in 0..NODES {
            if let Some((peer, from)) = self.nodes[index].waiting.pull {
                self.step(
                    next,
                    format!("daemon {peer} answers the pull of daemon {index}"),
                    |world| {
                        world.nodes_mut(index).waiting.pull = None;
                        world.serve_pull(peer, index, from);
                    },
                );
            }
        }
    }

    fn process_steps(&self, next: &mut Vec<World>) {
        if self.faults.clock_steps > 0 {
            self.step(next, "time passes".to_string(), |world| {
                world.faults.clock_steps -= 1;
                world.now_ms += CLOCK_STEP_MS;
                for index in 0..NODES {
                    world.handle(index, Input::Tick);
                }
            });
        }
        for index in 0..NODES {
            if self.faults.crashes > 0 && (self.faults.readers_crash || !self.is_reader(index)) {
                self.step(
                    next,
                    format!("daemon {index} restarts without stored state"),
                    |world| {
                        world.faults.crashes -= 1;
                        world.restart(index);
                    },
                );
            }
            for peer in (0..NODES).filter(|peer| *peer != index && self.faults.digests > 0) {
                let (version, digest) = self.nodes[peer].sync.announced();
                let received_version = self.nodes[index]
                    .received_versions
                    .get(&peer)
                    .copied()
                    .unwrap_or_default();
                let is_newer =
                    version > received_version.max(2) || self.defect == Some(Defect::AcceptsLower);
                if digest != 0 && is_newer {
                    self.step(
                        next,
                        format!("daemon {index} receives the digest of daemon {peer}"),
                        |world| {
                            world.faults.digests -= 1;
                            world.receive_digest(index, peer, version, digest);
                        },
                    );
                }
            }
        }
    }
}
