//! Names of test cases.

/// Names each case and runs its check; a check after `async` runs on a runtime with two threads.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $check
            }
        )*
    };
    (async $($name:ident => $check:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                $check.await
            }
        )*
    };
}
