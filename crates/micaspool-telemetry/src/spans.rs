//! Trace spans for the hops of a request, based on `opentelemetry` and written as JSON lines.

use opentelemetry::trace::{
    Span, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::future::Future;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// The version field of a W3C `traceparent`.
const TRACEPARENT_VERSION: &str = "00";

/// Where a process writes its spans.
#[derive(Clone, Debug)]
pub struct SpanSink {
    tracer: SdkTracer,
    instance: Arc<str>,
}

/// The span of one hop of a request. It ends when dropped.
#[derive(Debug)]
pub struct HopSpan {
    span: opentelemetry_sdk::trace::Span,
}

#[derive(Serialize)]
struct SpanLine<'a> {
    trace: String,
    span: String,
    parent: String,
    hop: &'a str,
    start_us: u64,
    micros: u64,
    fields: BTreeMap<String, String>,
}

#[derive(Debug)]
struct LineExporter {
    file: Option<Mutex<File>>,
}

impl Default for SpanSink {
    /// Creates a sink that writes nothing.
    fn default() -> Self {
        SpanSink::open(None, "").expect("no file is opened")
    }
}

impl SpanSink {
    /// Creates a sink that appends to a file, or writes nothing if there is none.
    pub fn open(file: Option<&Path>, instance: &str) -> std::io::Result<SpanSink> {
        let file = match file {
            Some(path) => Some(Mutex::new(File::options().create(true).append(true).open(path)?)),
            None => None,
        };
        let provider = SdkTracerProvider::builder().with_simple_exporter(LineExporter { file }).build();
        Ok(SpanSink { tracer: provider.tracer("micaspool"), instance: Arc::from(instance) })
    }

    /// Starts a span as a child of the given `traceparent`. Starts a new trace if there is none or it is malformed.
    pub fn start(&self, hop: &'static str, traceparent: Option<&str>) -> HopSpan {
        let parent = traceparent.and_then(parse_traceparent);
        let context = match parent {
            Some(parent) => Context::new().with_remote_span_context(parent),
            None => Context::new(),
        };
        let builder = self.tracer.span_builder(hop).with_kind(SpanKind::Server);
        let mut span = self.tracer.build_with_context(builder, &context);
        span.set_attribute(KeyValue::new("instance", self.instance.to_string()));
        HopSpan { span }
    }
}

impl HopSpan {
    /// Returns the W3C `traceparent` for the calls of this hop.
    pub fn traceparent(&self) -> String {
        let context = self.span.span_context();
        let flags = context.trace_flags().to_u8();
        format!("{TRACEPARENT_VERSION}-{}-{}-{flags:02x}", context.trace_id(), context.span_id())
    }

    /// Sets a field. Customer keys and bodies must never be fields.
    pub fn set(&mut self, key: &'static str, value: impl ToString) {
        self.span.set_attribute(KeyValue::new(key, value.to_string()));
    }
}

fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let mut parts = text.trim().split('-');
    let _version = parts.next().filter(|version| version.len() == 2)?;
    let trace = TraceId::from_hex(parts.next().filter(|part| part.len() == 32)?).ok()?;
    let span = SpanId::from_hex(parts.next().filter(|part| part.len() == 16)?).ok()?;
    let flags = u8::from_str_radix(parts.next()?, 16).ok()?;
    let context = SpanContext::new(trace, span, TraceFlags::new(flags | 1), true, TraceState::default());
    context.is_valid().then_some(context)
}

impl SpanExporter for LineExporter {
    fn export(&self, batch: Vec<SpanData>) -> impl Future<Output = OTelSdkResult> + Send {
        let result = self.write(&batch).map_err(|error| OTelSdkError::InternalFailure(error.to_string()));
        std::future::ready(result)
    }
}

impl LineExporter {
    fn write(&self, batch: &[SpanData]) -> std::io::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        let mut lines = Vec::new();
        for data in batch {
            serde_json::to_writer(&mut lines, &span_line(data))?;
            lines.push(b'\n');
        }
        let mut file = file.lock().expect("no thread panics while it holds the lock");
        file.write_all(&lines)
    }
}

fn span_line(data: &SpanData) -> SpanLine<'_> {
    let micros = data.end_time.duration_since(data.start_time).unwrap_or_default().as_micros();
    let fields = data.attributes.iter().map(|field| (field.key.to_string(), field.value.to_string()));
    SpanLine {
        trace: data.span_context.trace_id().to_string(),
        span: data.span_context.span_id().to_string(),
        parent: data.parent_span_id.to_string(),
        hop: &data.name,
        start_us: unix_micros(data.start_time),
        micros: u64::try_from(micros).unwrap_or(u64::MAX),
        fields: fields.collect(),
    }
}

fn unix_micros(time: SystemTime) -> u64 {
    u64::try_from(time.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
