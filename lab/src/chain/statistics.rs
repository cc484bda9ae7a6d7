//! What can be told from a few pairs: a mean, and the interval that holds the true one 95 times in 100.

/// Two-sided, 95 %, of Student's t by degrees of freedom from 1 on.
const T: [f64; 10] = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];

/// Beyond the table by the first terms of its expansion, which are right to a thousandth there.
pub fn t_quantile(degrees: usize) -> f64 {
    match degrees.checked_sub(1).and_then(|at| T.get(at)) {
        Some(quantile) => *quantile,
        None => {
            let degrees = degrees as f64;
            1.95996 + 2.3722 / degrees + 2.822 / (degrees * degrees)
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Interval {
    pub mean: f64,
    /// The interval reaches so far to each side.
    pub half: f64,
    pub count: usize,
}

impl Interval {
    /// None of fewer than two figures.
    pub fn of(figures: &[f64]) -> Option<Interval> {
        let count = figures.len();
        if count < 2 {
            return None;
        }
        let mean = figures.iter().sum::<f64>() / count as f64;
        let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
        let error = (squares / (count - 1) as f64 / count as f64).sqrt();
        Some(Interval { mean, half: t_quantile(count - 1) * error, count })
    }

    /// Not wider than the figure itself.
    pub fn can_be_told(&self) -> bool {
        2.0 * self.half <= self.mean.abs()
    }
}

/// Calls that may reach the last of so many tiers for each at the first, where every tier adds at most this share.
pub fn reach_bound(share: f64, tiers: usize) -> f64 {
    (1.0 + share).powi(tiers as i32)
}
