import test from "ava";
import { Metrics } from "../metrics.ts";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";
import { AdviceDispatcher } from "./advice_dispatcher.ts";
import type { Advice } from "./types.ts";

/**
 * A cell with room for all submissions of this file, whose advice requests are
 * answered by the test.
 */
async function openCell() {
  const harness = new Harness();
  const { clock } = harness;
  for (let index = 0; index < 20; index++) harness.addWorker(`w${index}`);
  harness.set = {
    ...harness.set,
    queues: [
      testQueue({
        priority: 1,
        advice: { baseMs: 900, perWorkerMs: 1, ticketMs: 1_500 },
      }),
      testQueue({ name: "plain" }),
    ],
  };
  const answers: ((advice: Advice) => void)[] = [];
  const tickets = new Map(
    harness.entries.map(({ id }) => [id, `ticket for ${id}`]),
  );
  const adviceDispatcher = new AdviceDispatcher(
    () => new Promise((resolve) => answers.push(resolve)),
    () => ["self"],
    { clock, metrics: new Metrics() },
  );
  const cell = await harness.open({ adviceDispatcher });
  const submitNow = (id: number, queue = "receipts") =>
    cell.submit({
      id: id.toString(16).padStart(16, "0"),
      queue,
      team: "",
      spec: { payload: "text", steps: [testStep()] },
    });
  const submit = async (...submission: Parameters<typeof submitNow>) => {
    const outcome = submitNow(...submission);
    await clock.run(100);
    return await outcome;
  };
  return { submit, submitNow, answers, tickets, clock };
}

test("a submission whose advice would take too long is refused at once", async (t) => {
  const { submit, answers, tickets, clock } = await openCell();
  const outcomes = [];
  for (let id = 1; id <= 20; id++) outcomes.push(await submit(id));
  const accepted = outcomes.filter(({ type }) => type === "accepted").length;
  t.true(accepted >= 3 && accepted <= 10, String(accepted));
  t.deepEqual(outcomes.at(-1), { type: "refused", reason: "overload" });
  t.deepEqual(await submit(21, "plain"), { type: "accepted" });
  t.deepEqual(await submit(1), { type: "accepted" });

  for (let answered = 0; answered < answers.length; answered++) {
    answers[answered]!({ type: "advised", tickets });
    await clock.run(500);
  }
  t.deepEqual(await submit(22), { type: "accepted" });
});

test("submissions that arrive together are refused beyond what their advice permits", async (t) => {
  const { submitNow, clock } = await openCell();
  const pending = Array.from(
    { length: 40 },
    (_, index) => submitNow(index + 1),
  );
  await clock.run(500);
  const outcomes = await Promise.all(pending);
  const accepted = outcomes.filter(({ type }) => type === "accepted").length;
  t.true(accepted >= 3 && accepted <= 10, String(accepted));
});

test("a queue alone on the only channel is refused nothing that it can serve", async (t) => {
  const { submit } = await openCell();
  const outcomes = [];
  for (let id = 1; id <= 6; id++) outcomes.push((await submit(id)).type);
  t.deepEqual([...new Set(outcomes)], ["accepted"]);
});
