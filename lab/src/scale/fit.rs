//! Least-squares lines through figures measured at several sizes, with 95 % confidence intervals.

/// A regression line and its uncertainty.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Fit {
    /// How many points it has.
    pub points: usize,
    /// Its slope.
    pub slope: f64,
    /// Its value at 0.
    pub intercept: f64,
    /// Half the width of the slope's confidence interval.
    pub slope_error: f64,
    /// The standard error of the regression.
    spread: f64,
    mean_x: f64,
    /// The sum of the squared deviations of the sizes from their mean.
    off_mean: f64,
}

/// A predicted value and its interval.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// The lower end of its interval.
    pub low: f64,
    /// The upper end of its interval.
    pub high: f64,
}

/// Student's t at 95 %, two-sided, for 1 and more degrees of freedom.
const STUDENT: [f64; 12] =
    [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179];
/// For more degrees of freedom: larger than the true value, so that no interval is too narrow.
const STUDENT_BEYOND: f64 = 2.179;

impl Fit {
    /// Fits a line; none for fewer than three points or points of one size, for which there is no interval.
    pub fn linear(points: &[(f64, f64)]) -> Option<Fit> {
        let count = points.len() as f64;
        let freedom = points.len().checked_sub(2).filter(|freedom| *freedom > 0)?;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let off_mean: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let together: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        if !off_mean.is_finite() || off_mean <= 0.0 || !together.is_finite() {
            return None;
        }
        let slope = together / off_mean;
        let intercept = mean_y - slope * mean_x;
        let rest: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let spread = (rest / freedom as f64).sqrt();
        let slope_error = student(freedom) * spread / off_mean.sqrt();
        Some(Fit { points: points.len(), slope, intercept, slope_error, spread, mean_x, off_mean })
    }

    /// Fits a line through the logarithms of both coordinates: its slope is the exponent of the growth. None also if
    /// a coordinate is not over 0.
    pub fn power(points: &[(f64, f64)]) -> Option<Fit> {
        let over = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        over.then(|| Fit::linear(&logs)).flatten()
    }

    /// Predicts one more measurement at that size.
    pub fn at(&self, x: f64) -> Estimate {
        let value = self.intercept + self.slope * x;
        let off = 1.0 + 1.0 / self.points as f64 + (x - self.mean_x).powi(2) / self.off_mean;
        let error = student(self.points - 2) * self.spread * off.sqrt();
        Estimate { value, low: value - error, high: value + error }
    }

    /// The same for a line through logarithms.
    pub fn power_at(&self, x: f64) -> Estimate {
        let Estimate { value, low, high } = self.at(x.ln());
        Estimate { value: value.exp(), low: low.exp(), high: high.exp() }
    }
}

fn student(freedom: usize) -> f64 {
    STUDENT.get(freedom - 1).copied().unwrap_or(STUDENT_BEYOND)
}
