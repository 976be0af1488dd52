//! Burn rates as an SVG picture.
use plotters::prelude::*;

use crate::{
    report::{FAST_BURN, FleetRow},
    window::WindowLength,
};

/// Width of the picture, in pixels.
pub const WIDTH_PX: u32 = 340;

const ROW_PX: u32 = 44;
const BAR_PX: i32 = 8;
const MARGIN_PX: i32 = 4;

/// Most objectives drawn; the rest stand in the table below the picture.
pub const MAX_ROWS: usize = 12;

/// Why a picture could not be drawn.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Draws one group of bars per objective, one bar per window; full width is [`FAST_BURN`] or more.
pub fn draw(rows: &[FleetRow]) -> Result<String, Error> {
    let rows = &rows[..rows.len().min(MAX_ROWS)];
    let mut svg = String::new();
    let height_px = ROW_PX * rows.len().max(1) as u32;
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, height_px)).into_drawing_area();
        for (index, row) in rows.iter().enumerate() {
            draw_row(&area, index as i32 * ROW_PX as i32, row)?;
        }
        area.present().map_err(|error| Error(error.to_string()))?;
    }
    Ok(svg)
}

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_row(area: &SvgArea<'_>, top: i32, row: &FleetRow) -> Result<(), Error> {
    for (index, burn) in row.windows.iter().enumerate() {
        let top = top + MARGIN_PX + index as i32 * (BAR_PX + 2);
        let share = (burn.rate / FAST_BURN).clamp(0.0, 1.0);
        let right = (share * f64::from(WIDTH_PX)) as i32;
        let back = Rectangle::new(
            [(0, top), (WIDTH_PX as i32, top + BAR_PX)],
            RGBColor(235, 235, 235).filled(),
        );
        let bar = Rectangle::new(
            [(0, top), (right, top + BAR_PX)],
            color_of(burn.rate).filled(),
        );
        area.draw(&back).map_err(|error| Error(error.to_string()))?;
        area.draw(&bar).map_err(|error| Error(error.to_string()))?;
    }
    debug_assert!(row.windows.len() <= WindowLength::ALL.len());
    Ok(())
}

fn color_of(rate: f64) -> RGBColor {
    if rate >= FAST_BURN {
        RGBColor(190, 30, 30)
    } else if rate >= 1.0 {
        RGBColor(225, 140, 20)
    } else {
        RGBColor(40, 130, 70)
    }
}
