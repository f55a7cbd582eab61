//! The `data!` macro: common derives for plain data types.

/// Declares plain data types with the derives that nearly all of them share:
/// `Debug`, `Clone`, `PartialEq`, `Serialize` and `Deserialize`.
///
/// Further derives and attributes are written above each type as usual. The calling crate needs
/// `serde` as a direct dependency.
///
/// ```
/// coriandercove_base::data! {
///     /// A point on a grid.
///     #[derive(Copy, Eq)]
///     pub struct Point {
///         /// Distance to the right, in cells.
///         pub x: u32,
///     }
/// }
/// assert_eq!(Point { x: 1 }, Point { x: 1 });
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}
