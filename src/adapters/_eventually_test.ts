/**
 * Polling in tests.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";

const TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 10;

/** Polls until the condition holds; throws after {@linkcode TIMEOUT_MS}. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  for (const deadlineMs = Date.now() + TIMEOUT_MS; Date.now() < deadlineMs;) {
    if (await condition()) return;
    await delay(POLL_INTERVAL_MS);
  }
  throw new Error("timed out waiting for the condition");
}
