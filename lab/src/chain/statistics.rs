//! Statistics of a few samples: the mean and its 95 % confidence interval.

/// Two-sided 95 % quantiles of Student's t-distribution, for 1 to 10 degrees of freedom.
const T_95: [f64; 10] = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];

/// The two-sided 95 % quantile of Student's t-distribution. Beyond the table it is computed from the first
/// terms of the expansion in the degrees of freedom, which are exact to about a thousandth there.
pub fn t_quantile(degrees_of_freedom: usize) -> f64 {
    match degrees_of_freedom.checked_sub(1).and_then(|index| T_95.get(index)) {
        Some(quantile) => *quantile,
        None => {
            let degrees_of_freedom = degrees_of_freedom as f64;
            1.95996 + 2.3722 / degrees_of_freedom + 2.822 / (degrees_of_freedom * degrees_of_freedom)
        }
    }
}

/// The mean of some samples and its 95 % confidence interval.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Interval {
    pub mean: f64,
    /// Half of the interval's width.
    pub half_width: f64,
    pub count: usize,
}

impl Interval {
    /// None for fewer than two samples.
    pub fn from_samples(samples: &[f64]) -> Option<Interval> {
        let count = samples.len();
        if count < 2 {
            return None;
        }
        let mean = samples.iter().sum::<f64>() / count as f64;
        let squares: f64 = samples.iter().map(|sample| (sample - mean).powi(2)).sum();
        let error = (squares / (count - 1) as f64 / count as f64).sqrt();
        Some(Interval { mean, half_width: t_quantile(count - 1) * error, count })
    }

    /// Whether the interval is not wider than the mean itself.
    pub fn is_significant(&self) -> bool {
        2.0 * self.half_width <= self.mean.abs()
    }
}

/// The most attempts that can reach the last of so many tiers per request, if each tier adds at most this
/// share of attempts.
pub fn amplification_bound(share: f64, tiers: usize) -> f64 {
    (1.0 + share).powi(tiers as i32)
}
