//! Carries out the lines of a scenario.

use lovagespindle_decisions::rendezvous::rank_owners;

use crate::prelude::*;
use Word::Name as W;
use Word::Number as N;

impl World {
    /// Carries out one line.
    pub(crate) fn perform(&mut self, line: &str) -> Result<(), SceneError> {
        self.note(None, || format!("scenario: {line}"));
        self.perform_words(&words(line)?)
            .ok_or_else(|| SceneError::Line(line.into()))
    }

    fn perform_words(&mut self, words: &[Word<'_>]) -> Option<()> {
        match *words {
            [W("run"), N(t)] => self.run(span(t)),
            [W("expect"), W(metric), N(bound)] => {
                let metric: Metric = metric.parse().ok()?;
                self.expectations.push((metric, bound));
            }
            [W("zone"), W("out"), W(zone)] => self.set_zone(zone, ZoneState::Out),
            [W("zone"), W("in"), W(zone)] => self.set_zone(zone, ZoneState::In),
            [W("zone"), W(zone), W("instances"), N(n)] => self.add_zone(zone, n as u32),
            [W("link"), W(reach), N(delay), ref options @ ..] => {
                check(options, &["jitter", "loss"])?;
                let (delay, jitter) = (span(delay), span(option(options, "jitter", 0.0)));
                let loss = option(options, "loss", 0.0);
                let reach: Reach = reach.parse().ok()?;
                self.links[reach as usize] = Link {
                    delay,
                    jitter,
                    loss,
                };
            }
            [W("service"), W(name), ref sizes @ ..] => {
                check(sizes, &["servers", "slots", "connections"])?;
                let size = |name| option(sizes, name, 1.0) as u32;
                let servers = size("servers") as usize;
                self.add_service(name, servers, size("slots"), size("connections"));
            }
            [W("load"), W(service), N(rate), ref options @ ..] => {
                self.add_load(Load::new(service, rate, options)?);
            }
            [W("start"), W(zone)] => {
                let zone = self.zone_named(zone)?;
                self.start(zone);
            }
            [
                W(verb @ ("stop" | "kill" | "freeze" | "hush")),
                ref target @ ..,
            ] => {
                let n = self.find(target)?;
                match verb {
                    "stop" => {
                        self.nodes[n].leaving = Some(self.now);
                        self.deliver(n, Event::Leave);
                    }
                    "kill" => self.end(n, State::Gone),
                    "freeze" => self.end(n, State::Frozen),
                    _ => (self.hushed).extend((0..self.nodes.len()).flat_map(|m| [(n, m), (m, n)])),
                }
            }
            [W("wake")] => self.wake(),
            [W("cut"), W(a), W(b)] => {
                let (a, b) = (self.zone_named(a)?, self.zone_named(b)?);
                self.cuts.extend([(a, b), (b, a)]);
            }
            [W("heal")] => {
                self.cuts.clear();
                self.nodes.iter_mut().for_each(|n| n.excused = self.now);
            }
            [W("platform"), W("up")] => {
                (self.platform.down, self.platform.slow) = (false, Duration::ZERO);
            }
            [W("platform"), W("down")] => self.platform.down = true,
            [W("platform"), W("slow"), N(t)] => self.platform.slow = span(t),
            [W("lose"), W("answers"), N(n)] => self.platform.lose = n as u32,
            [W("list"), W("lag"), N(t)] => self.platform.lag = span(t),
            [W("operators"), N(n), W("changes"), N(each)] => self.compete((n * each) as u32),
            [W("server"), W(name), ref deed @ ..] => {
                let s = self.server_named(name)?;
                self.treat_server(s, deed)?;
            }
            _ => return None,
        }
        Some(())
    }

    /// Does something to a backend server.
    fn treat_server(&mut self, s: usize, deed: &[Word<'_>]) -> Option<()> {
        self.servers[s].touched = true;
        match *deed {
            [W("drain")] => self.set_server(s, ServerState::Draining),
            [W("undrain")] => self.set_server(s, ServerState::Active),
            [W("cold"), N(down)] => {
                self.excuse_flows(s);
                self.restart(s, span(down));
            }
            [W("silent")] => {
                self.excuse_flows(s);
                self.servers[s].silence();
            }
            [W("shed"), N(share)] => self.servers[s].shed = share,
            [W("mislead"), W("idle")] => self.servers[s].idle = true,
            [W("mislead"), W("sick")] => self.servers[s].sick = true,
            [W("lag"), N(lag)] => self.servers[s].lag = span(lag),
            [W("late"), N(late)] => self.servers[s].late = span(late),
            _ => return None,
        }
        Some(())
    }

    /// Finds an instance by its number within its zone, or as the owner of a backend server.
    fn find(&self, target: &[Word<'_>]) -> Option<usize> {
        let live = |n: &usize| self.nodes[*n].state == State::Live;
        match *target {
            [W("instance"), W(zone), N(number)] => {
                let zone = self.zone_named(zone)?;
                let here = |n: &usize| live(n) && self.nodes[*n].zone == zone;
                (0..self.nodes.len()).filter(here).nth(number as usize)
            }
            [W("owner"), W("of"), W(server)] => {
                let server = &self.servers[self.server_named(server)?];
                let nodes = self.nodes.iter();
                let here = nodes.filter(|n| n.state == State::Live && n.zone == server.zone);
                let here: Vec<InstanceId> = here.map(|n| n.member.id).collect();
                let owner = *rank_owners(server.id, &here).first()?;
                self.nodes.iter().position(|n| n.member.id == owner)
            }
            _ => None,
        }
    }

    fn set_zone(&mut self, zone: &str, state: ZoneState) {
        let name = zone.into();
        self.write(vec![Change::SetZone { name, state }]);
    }

    fn set_server(&mut self, s: usize, state: ServerState) {
        let name = self.servers[s].name.clone();
        self.write(vec![Change::SetServer { name, state }]);
    }
}
