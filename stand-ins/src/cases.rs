//! The macro that generates named test cases.

/// Generates one test per named case. With `async`, each check runs on a runtime with two threads.
#[macro_export]
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $check:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                $check
            }
        )*
    };
    (async $($(#[$doc:meta])* $name:ident => $check:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                $check.await
            }
        )*
    };
}
