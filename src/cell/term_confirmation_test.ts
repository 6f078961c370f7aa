import test from "ava";
import { SuspendableClock } from "./_suspendable_clock_test.ts";
import { TermConfirmation } from "./term_confirmation.ts";

// Guards against a suspended leader that, when it resumes, reads the response to
// a write from before and renews leases that the next leader takes for ended.
test("a response to a request from before a suspension does not confirm the term", (t) => {
  const clock = new SuspendableClock();
  const confirmation = new TermConfirmation(clock);
  confirmation.confirm(confirmation.now());
  const { sentMs } = confirmation.now();
  clock.suspend(4_000);
  confirmation.extend(sentMs);
  t.true(confirmation.wasSuspended);
  confirmation.confirm(confirmation.now());
  t.false(confirmation.wasSuspended);
});

test("a term that was gained during a suspension is not confirmed", (t) => {
  const clock = new SuspendableClock();
  const confirmation = new TermConfirmation(clock);
  const sent = confirmation.now();
  clock.suspend(4_000);
  confirmation.confirm(sent);
  t.true(confirmation.wasSuspended);
});

test("the term is confirmed as of the time when a request was sent", (t) => {
  const clock = new SuspendableClock();
  const confirmation = new TermConfirmation(clock);
  const sent = confirmation.now();
  clock.advance(300);
  confirmation.confirm(sent);
  t.is(confirmation.ageMs, 300);
  confirmation.extend(clock.monotonic() - 100);
  t.is(confirmation.ageMs, 100);
  confirmation.extend(sent.sentMs);
  t.is(confirmation.ageMs, 100);
});
