use super::*;

/// Guards against a flood of successes pushing failures out of the log.
#[test]
fn failures_have_a_budget_of_their_own() {
    let mut window = Window::default();
    let now = Instant::now();
    let admitted = |window: &mut Window, level, at| {
        (0..1000).filter(|_| window.admit(level, at)).count() as u32
    };
    assert_eq!(
        admitted(&mut window, slog::Level::Info, now),
        INFO_LINES_PER_SECOND
    );
    assert_eq!(
        admitted(&mut window, slog::Level::Warning, now),
        WARN_LINES_PER_SECOND
    );
    let later = now + Duration::from_secs(1);
    assert!(window.admit(slog::Level::Info, later));
}
