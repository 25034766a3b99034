//! The cost of a call, used to charge customers and to measure a program's attained service.
//!
//! The unit is a tenth of a weighted token. One weighted token is the cost of one prompt
//! token that is not cached.

use crate::event::TokenUsage;

/// Cost units per weighted token.
pub(crate) const TENTHS_PER_TOKEN: u64 = 10;

/// Cost of a prompt token that is not cached.
const PROMPT_TENTHS: u64 = 10;
/// Cost of a prompt token that is read from the prefix cache.
const CACHED_TENTHS: u64 = 1;
/// Cost of a generated token.
const GENERATED_TENTHS: u64 = 40;

/// Cost of a millisecond at a plain service. Equals the cost per millisecond of a model call
/// that generates 25 tokens per second.
const SERVICE_TENTHS_PER_MS: u64 = 1;

/// Cost of a model call with these token counts.
pub fn of_usage(usage: TokenUsage) -> u64 {
    let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
    let prompt = uncached.saturating_mul(PROMPT_TENTHS);
    let cached = usage.cached_tokens.saturating_mul(CACHED_TENTHS);
    let generated = usage.generated_tokens.saturating_mul(GENERATED_TENTHS);
    prompt.saturating_add(cached).saturating_add(generated)
}

/// Cost of a call to a plain service that took `elapsed_ms`. At least 1.
pub fn of_service_ms(elapsed_ms: u64) -> u64 {
    elapsed_ms.saturating_mul(SERVICE_TENTHS_PER_MS).max(1)
}
