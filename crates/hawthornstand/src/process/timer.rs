//! Periodic timer ticks, and a sleep with an optional deadline.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};

/// Creates periodic tick subscriptions; ticks that a busy subscriber misses are dropped.
#[derive(Clone, Default)]
pub struct TimerService;

/// Receives the ticks of one subscription.
pub struct Ticks {
    receiver: mpsc::Receiver<Instant>,
}

impl TimerService {
    /// Subscribes to ticks at a fixed period; the subscription ends when the receiver is dropped.
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(period.max(Duration::from_millis(1)));
            interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                let now = interval.tick().await;
                match sender.try_send(now) {
                    Err(mpsc::error::TrySendError::Closed(_)) => return,
                    Err(mpsc::error::TrySendError::Full(_)) | Ok(()) => continue,
                }
            }
        });
        Ticks { receiver }
    }
}

impl Ticks {
    /// Waits for the next tick.
    pub async fn next(&mut self) -> Option<Instant> {
        self.receiver.recv().await
    }
}

/// Waits until an instant, or forever if there is none.
pub async fn sleep_until_or_forever(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
