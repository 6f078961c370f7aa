/**
 * Waits in tests.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";

const PATIENCE_MS = 30_000;
const POLL_MS = 10;

/** Resolves as soon as the condition holds; fails if it does not for very long. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  for (const end = Date.now() + PATIENCE_MS; Date.now() < end;) {
    if (await condition()) return;
    await delay(POLL_MS);
  }
  throw new Error("the condition never came to hold");
}
