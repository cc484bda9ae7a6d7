//! Least-squares lines through what was measured at several sizes, with the interval that 95 in 100 of such lines keep to.

/// A line through points, and how sure it is.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Fit {
    pub points: usize,
    pub slope: f64,
    pub intercept: f64,
    /// Half the width of the slope's interval of confidence.
    pub slope_error: f64,
    /// What the points stand off the line by: the standard error of the regression.
    spread: f64,
    mean_x: f64,
    /// The sum of squares of what the sizes stand off their mean by.
    off_mean: f64,
}

/// A value and its interval.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Reckoned {
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

/// Student's t at 95 %, two-sided, by degrees of freedom from 1 up.
const STUDENT: [f64; 12] =
    [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179];
/// Beyond those: wider than it is, so that nothing is called surer than it may be.
const STUDENT_BEYOND: f64 = 2.179;

impl Fit {
    /// None of fewer than three points, or of points at one size: such a line has no interval.
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

    /// Through the logarithms of both: the slope is the power by which the one grows with the other. None also if any
    /// is not over 0.
    pub fn power(points: &[(f64, f64)]) -> Option<Fit> {
        let over = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        over.then(|| Fit::linear(&logs)).flatten()
    }

    /// What one more measurement at that size is reckoned to give, if the line goes on.
    pub fn at(&self, x: f64) -> Reckoned {
        let value = self.intercept + self.slope * x;
        let off = 1.0 + 1.0 / self.points as f64 + (x - self.mean_x).powi(2) / self.off_mean;
        let error = student(self.points - 2) * self.spread * off.sqrt();
        Reckoned { value, low: value - error, high: value + error }
    }

    /// The same, of a line through logarithms.
    pub fn power_at(&self, x: f64) -> Reckoned {
        let Reckoned { value, low, high } = self.at(x.ln());
        Reckoned { value: value.exp(), low: low.exp(), high: high.exp() }
    }
}

fn student(freedom: usize) -> f64 {
    STUDENT.get(freedom - 1).copied().unwrap_or(STUDENT_BEYOND)
}
