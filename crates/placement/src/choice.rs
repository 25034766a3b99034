//! Choice among endpoints whose expected times hardly differ.

/// Chooses one of `scores`, of which lower is better: at random among those less than `band` above
/// the best one, the more likely the closer to it. `random` is from 0 up to, but not including, 1.
///
/// Instances that all chose the best one would send their requests to the same endpoint until its
/// next report.
pub fn choose_similar(
    scores: impl Iterator<Item = f64> + Clone,
    band: f64,
    random: f64,
) -> Option<usize> {
    let best = scores.clone().min_by(f64::total_cmp)?;
    let weights = scores.map(|score| match band > 0.0 {
        true => (1.0 - (score - best) / band).max(0.0),
        false if score <= best => 1.0,
        false => 0.0,
    });
    let mut point = random * weights.clone().sum::<f64>();
    let mut last = None;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = Some(index);
        point -= weight;
        if point < 0.0 {
            break;
        }
    }
    last
}
