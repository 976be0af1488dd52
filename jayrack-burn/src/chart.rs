//! Burn rates as an SVG chart.
use plotters::prelude::*;

use crate::{
    report::{FAST_BURN_RATE, FleetRow},
    window::WindowLength,
};

/// Width of the chart, in pixels.
pub const WIDTH_PX: u32 = 340;

const BAR_PX: i32 = 6;
const GAP_PX: i32 = 2;
const HEIGHT_PX: u32 = (BAR_PX + GAP_PX) as u32 * WindowLength::ALL.len() as u32;

/// Error of the drawing backend.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Draws one bar per window, the shortest first; full width is a burn rate of [`FAST_BURN_RATE`] or
/// more.
///
/// # Errors
///
/// Returns the error of the drawing backend.
pub fn draw(row: &FleetRow) -> Result<String, Error> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
        for (index, burn) in row.windows.iter().enumerate() {
            draw_bar(&area, index as i32 * (BAR_PX + GAP_PX), burn.rate)?;
        }
        area.present().map_err(|error| Error(error.to_string()))?;
    }
    Ok(svg)
}

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_bar(area: &SvgArea<'_>, top: i32, rate: f64) -> Result<(), Error> {
    let fraction = (rate / FAST_BURN_RATE).clamp(0.0, 1.0);
    let right = (fraction * f64::from(WIDTH_PX)) as i32;
    let back = Rectangle::new(
        [(0, top), (WIDTH_PX as i32, top + BAR_PX)],
        RGBColor(235, 235, 235).filled(),
    );
    let bar = Rectangle::new([(0, top), (right, top + BAR_PX)], color_of(rate).filled());
    area.draw(&back).map_err(|error| Error(error.to_string()))?;
    area.draw(&bar).map_err(|error| Error(error.to_string()))?;
    Ok(())
}

fn color_of(rate: f64) -> RGBColor {
    if rate >= FAST_BURN_RATE {
        RGBColor(190, 30, 30)
    } else if rate >= 1.0 {
        RGBColor(225, 140, 20)
    } else {
        RGBColor(40, 130, 70)
    }
}
