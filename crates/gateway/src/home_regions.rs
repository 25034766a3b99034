//! Home regions of routes and customers: where a request may run and where its turns may be
//! stored, without I/O.
//!
//! Load addressed: requests whose data must stay in some regions, while endpoints and storage
//! instances of other regions have capacity. Endpoints and storage instances name their
//! availability zone; the settings say in which region it is. A zone without a known region is in
//! none.

use std::collections::{BTreeMap, BTreeSet};

/// The regions of the availability zones, from the settings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneRegions {
    /// Region by zone.
    pub by_zone: BTreeMap<String, String>,
    /// Region of this instance. If `None`, that of its zone.
    pub own: Option<String>,
}

/// The zones to which a request with home regions is restricted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HomeZones {
    /// Zones of the endpoints that may run it.
    pub endpoints: BTreeSet<String>,
    /// Zones of the members that may store its turns: those of the home regions, and those of the
    /// caller's own region, which is the region of this instance.
    pub members: BTreeSet<String>,
}

/// What is requested of endpoints: a service, and optionally zones in which it may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The zones of the endpoints that may run the request. `None` for any.
    pub zones: Option<&'a BTreeSet<String>>,
}

impl<'a> From<&'a str> for Target<'a> {
    /// A service in any zone.
    fn from(service: &'a str) -> Target<'a> {
        Target {
            service,
            zones: None,
        }
    }
}

impl Target<'_> {
    /// Whether the request may run in a zone.
    pub(crate) fn allows(&self, zone: &str) -> bool {
        self.zones.is_none_or(|zones| zones.contains(zone))
    }
}

impl ZoneRegions {
    /// The zones for a request on a route and of a customer with these home regions. Each of the two
    /// lists binds unless it is empty; `None` if both are.
    ///
    /// `own_zone` is the zone of this instance.
    pub fn home_zones(
        &self,
        own_zone: &str,
        route_regions: &[String],
        customer_regions: &[String],
    ) -> Option<HomeZones> {
        let limits = [route_regions, customer_regions];
        let binding = limits.into_iter().filter(|regions| !regions.is_empty());
        binding.clone().next()?;
        let own_region = self.own.as_ref().or_else(|| self.by_zone.get(own_zone));
        let is_home =
            |region: &String| binding.clone().all(|regions| regions.contains(region));
        let in_regions = |is_allowed: &dyn Fn(&String) -> bool| {
            let zones = self.by_zone.iter();
            let allowed = zones.filter(|(_, region)| is_allowed(region));
            allowed.map(|(zone, _)| zone.clone()).collect()
        };
        let endpoints = in_regions(&is_home);
        let mut members: BTreeSet<String> =
            in_regions(&|region| is_home(region) || Some(region) == own_region);
        members.insert(own_zone.to_string());
        Some(HomeZones { endpoints, members })
    }
}
