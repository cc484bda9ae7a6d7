//! Least-squares fits through figures measured at several sizes, with 95 % confidence intervals.

/// A fitted line and its uncertainty.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Fit {
    pub points: usize,
    pub slope: f64,
    pub intercept: f64,
    /// Half the width of the slope's confidence interval.
    pub slope_error: f64,
    /// The standard error of the regression.
    residual_std_error: f64,
    mean_x: f64,
    /// The sum of the squared deviations of x from its mean.
    sum_of_squares_x: f64,
}

/// A predicted value and its prediction interval.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Prediction {
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

/// Two-sided 95 % quantiles of Student's t, by degrees of freedom from 1.
const T_QUANTILES: [f64; 12] =
    [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179];
/// Used for more degrees of freedom: the true quantile is smaller, so the interval is never too narrow.
const T_QUANTILE_BEYOND: f64 = 2.179;

impl Fit {
    /// Fits a straight line. Returns `None` for fewer than three points or a single size, which give no interval.
    pub fn linear(points: &[(f64, f64)]) -> Option<Fit> {
        let count = points.len() as f64;
        let degrees_of_freedom =
            points.len().checked_sub(2).filter(|degrees_of_freedom| *degrees_of_freedom > 0)?;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_of_squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_of_products: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        if !sum_of_squares_x.is_finite() || sum_of_squares_x <= 0.0 || !sum_of_products.is_finite() {
            return None;
        }
        let slope = sum_of_products / sum_of_squares_x;
        let intercept = mean_y - slope * mean_x;
        let residual_sum_of_squares: f64 =
            points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let residual_std_error = (residual_sum_of_squares / degrees_of_freedom as f64).sqrt();
        let slope_error = t_quantile(degrees_of_freedom) * residual_std_error / sum_of_squares_x.sqrt();
        Some(Fit {
            points: points.len(),
            slope,
            intercept,
            slope_error,
            residual_std_error,
            mean_x,
            sum_of_squares_x,
        })
    }

    /// Fits a line through the logarithms of x and y; its slope is the exponent of the power law. Also returns `None`
    /// if any coordinate is not positive.
    pub fn power(points: &[(f64, f64)]) -> Option<Fit> {
        let all_positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        all_positive.then(|| Fit::linear(&logs)).flatten()
    }

    /// Predicts a further measurement at x, assuming that the line continues.
    pub fn predict(&self, x: f64) -> Prediction {
        let value = self.intercept + self.slope * x;
        let variance_factor =
            1.0 + 1.0 / self.points as f64 + (x - self.mean_x).powi(2) / self.sum_of_squares_x;
        let error = t_quantile(self.points - 2) * self.residual_std_error * variance_factor.sqrt();
        Prediction { value, low: value - error, high: value + error }
    }

    /// Like [`Fit::predict`], for a fit made by [`Fit::power`].
    pub fn predict_power(&self, x: f64) -> Prediction {
        let Prediction { value, low, high } = self.predict(x.ln());
        Prediction { value: value.exp(), low: low.exp(), high: high.exp() }
    }
}

fn t_quantile(degrees_of_freedom: usize) -> f64 {
    T_QUANTILES.get(degrees_of_freedom - 1).copied().unwrap_or(T_QUANTILE_BEYOND)
}
