//! Conversions of orders about data halls.

use super::Error;
use crate::v1;
use micaspool_halls::{HallOrder, HallOrders, HallState, OrderCommand, OrderVerdict};
use micaspool_types::HallName;

/// Decodes an order. Its time is zero; the keeper sets it later.
pub fn order_command(message: v1::OrderHallRequest) -> Result<OrderCommand, Error> {
    Ok(OrderCommand {
        hall: HallName::parse(&message.hall)?,
        wanted: wanted_use(message.evacuate),
        known: message.known,
        ordered_by: message.ordered_by.into(),
        at_millis: 0,
    })
}

/// Encodes the verdict on an order.
pub fn order_reply(verdict: OrderVerdict) -> v1::OrderHallReply {
    let (verdict, number) = match verdict {
        OrderVerdict::InForce(number) => (v1::HallVerdict::HallInForce, number),
        OrderVerdict::Overtaken(number) => (v1::HallVerdict::HallOvertaken, number),
        OrderVerdict::TooManyHalls => (v1::HallVerdict::HallTooMany, 0),
    };
    v1::OrderHallReply { verdict: verdict.into(), number, not_leader: None }
}

/// Decodes the verdict on an order; `None` if it is unset or from a newer version.
pub fn order_verdict(reply: &v1::OrderHallReply) -> Option<OrderVerdict> {
    match reply.verdict() {
        v1::HallVerdict::HallInForce => Some(OrderVerdict::InForce(reply.number)),
        v1::HallVerdict::HallOvertaken => Some(OrderVerdict::Overtaken(reply.number)),
        v1::HallVerdict::HallTooMany => Some(OrderVerdict::TooManyHalls),
        v1::HallVerdict::HallNone => None,
    }
}

/// Encodes the newest order about each hall.
pub fn hall_messages(orders: &HallOrders) -> Vec<v1::HallNews> {
    let halls = orders.iter().map(|(hall, order)| v1::HallNews {
        hall: hall.to_string(),
        number: order.number,
        evacuated: order.wanted == HallState::Evacuated,
        ordered_by: order.ordered_by.to_string(),
        at_millis: order.at_millis,
    });
    halls.collect()
}

/// Decodes a hall and the newest order about it.
pub fn hall_order(message: &v1::HallNews) -> Result<(HallName, HallOrder), Error> {
    let order = HallOrder {
        number: message.number,
        wanted: wanted_use(message.evacuated),
        ordered_by: message.ordered_by.as_str().into(),
        at_millis: message.at_millis,
    };
    Ok((HallName::parse(&message.hall)?, order))
}

fn wanted_use(evacuated: bool) -> HallState {
    if evacuated {
        HallState::Evacuated
    } else {
        HallState::Open
    }
}
