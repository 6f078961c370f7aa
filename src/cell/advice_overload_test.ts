import test from "ava";
import { Metrics } from "../metrics.ts";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";
import { AdviceDispatcher } from "./advice_dispatcher.ts";
import type { Advice } from "./types.ts";

/** A cell whose advice requests are answered by the test. */
async function openCell() {
  const harness = new Harness();
  const { clock } = harness;
  harness.addWorker("w0");
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
  const adviceDispatcher = new AdviceDispatcher(
    () => new Promise((resolve) => answers.push(resolve)),
    () => ["self"],
    { clock, metrics: new Metrics() },
  );
  const cell = await harness.open({ adviceDispatcher });
  const submit = async (id: number, queue = "receipts") => {
    const outcome = cell.submit({
      id: id.toString(16).padStart(16, "0"),
      queue,
      team: "",
      spec: { payload: "text", steps: [testStep()] },
    });
    await clock.run(100);
    return await outcome;
  };
  return { submit, answers, clock };
}

test("a submission whose advice would take too long is refused at once", async (t) => {
  const { submit, answers, clock } = await openCell();
  const outcomes = [];
  for (let id = 1; id <= 20; id++) outcomes.push(await submit(id));
  const accepted = outcomes.filter(({ type }) => type === "accepted").length;
  t.true(accepted >= 3 && accepted <= 10, String(accepted));
  t.deepEqual(outcomes.at(-1), { type: "refused", reason: "overload" });
  t.deepEqual(await submit(21, "plain"), { type: "accepted" });
  t.deepEqual(await submit(1), { type: "accepted" });

  for (let answered = 0; answered < answers.length; answered++) {
    answers[answered]!({
      type: "advised",
      tickets: new Map([["w0", "ticket"]]),
    });
    await clock.run(500);
  }
  t.deepEqual(await submit(22), { type: "accepted" });
});
