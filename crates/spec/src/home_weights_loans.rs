//! Model of the home weight record: loans, and the removal of dead instances by an operator.

use std::rc::Rc;

use crate::home_weights::{HomeEvent, HomeFault};
use crate::home_weights_instance::name;
use crate::home_weights_world::HomeWorld;

impl HomeWorld {
    /// Adds the events of loans, and the removals of dead instances that have a weight.
    pub(crate) fn loan_events(&self, events: &mut Vec<HomeEvent>) {
        let count = self.instances.len();
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        for (from, to) in pairs.filter(|(from, to)| self.loans > 0 && from != to) {
            let lender = &self.instances[from];
            let borrower = &self.instances[to];
            if lender.in_use_ppm > 0 && borrower.alive && !borrower.stopping {
                events.push(HomeEvent::Lend(from, to));
            }
        }
        events.extend((0..self.grants.len()).map(HomeEvent::DeliverGrant));
        let returns = (0..count).filter(|index| self.instances[*index].has_loans());
        events.extend(returns.map(HomeEvent::ReturnLoans));
        let dead = (0..count).filter(|index| !self.instances[*index].alive);
        let held = dead.filter(|index| self.record.weight_ppm(&name(*index)) > 0);
        events.extend(
            held.filter(|_| self.removals > 0)
                .map(HomeEvent::RemoveDeadInstance),
        );
    }

    /// Instance `to` requests a loan and `from` responds. The grant arrives at once, or is
    /// under way if grants may be late.
    pub(crate) fn lend(&mut self, from: usize, to: usize) {
        let Some(request) = self.instances[to].request_loan() else {
            return;
        };
        let lender = &mut self.instances[from];
        let now_ms = lender.now_ms;
        let grant = Rc::make_mut(&mut lender.quota).lend(now_ms, &request);
        if grant.weight_ppm > 0 {
            self.grants.push((to, grant));
            if !self.scope.late_grants {
                self.receive_grant(self.grants.len() - 1);
            }
        }
    }

    /// A grant arrives. If the borrower has restarted since its request, its quota does not
    /// know the request.
    pub(crate) fn receive_grant(&mut self, position: usize) {
        let (to, grant) = self.grants.remove(position);
        let borrower = &mut self.instances[to];
        let now_ms = borrower.now_ms;
        if borrower.alive {
            Rc::make_mut(&mut borrower.quota).receive(now_ms, grant);
        }
    }

    /// Returns the loans of a stopping instance to the lenders that are alive.
    pub(crate) fn return_loans(&mut self, index: usize) {
        let borrower = &mut self.instances[index];
        let now_ms = borrower.now_ms;
        let returns = Rc::make_mut(&mut borrower.quota).return_loans(now_ms);
        for returned in returns {
            let mut others = self.instances.iter_mut();
            let lender = others
                .find(|other| other.owner.incarnation.to_string() == returned.lender);
            if let Some(lender) = lender.filter(|lender| lender.alive) {
                let now_ms = lender.now_ms;
                Rc::make_mut(&mut lender.quota).accept_return(now_ms, &returned);
            }
        }
    }

    /// An operator removes the weight and the registration of a dead instance.
    pub(crate) fn remove_dead_instance(&mut self, index: usize) {
        let name = name(index);
        let held_ppm = self.record.weight_ppm(&name);
        if let Some(mut record) = self.record.forget(&name) {
            if self.scope.fault == Some(HomeFault::ForgetReleases) {
                record.released_ppm += held_ppm;
            }
            self.record = Rc::new(record);
            self.revision += 1;
        }
        self.registrations.remove(&name);
    }
}
