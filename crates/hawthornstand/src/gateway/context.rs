//! State that all requests of the gateway share.

use std::sync::Arc;

use crate::gateway::abandoned_calls::AbandonedCalls;
use crate::gateway::answer_memory::AnswerMemory;
use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::protocol::HttpProtocol;
use crate::gateway::telemetry::Telemetry;
use crate::process::body_memory::BodyMemory;
use crate::process::connection_table::ConnectionTable;

/// State that all requests of the gateway share.
#[derive(Clone)]
pub struct GatewayContext {
    pub abandoned_calls: Arc<AbandonedCalls>,
    pub answer_memory: Arc<AnswerMemory>,
    pub body_memory: Arc<BodyMemory>,
    pub caller_connections: Arc<ConnectionTable>,
    pub crash_tracker: Arc<CrashTracker>,
    pub protocol: Arc<dyn HttpProtocol>,
    pub telemetry: Arc<Telemetry>,
}
