import test from "ava";
import { setField } from "../src/cli/set_edit.ts";
import type { Control } from "../standins/store/faults.ts";
import { call } from "./http.ts";
import { smallSet } from "./small_set.ts";
import { pause, Testbed, type TestInstance } from "./testbed.ts";

const POLL_INTERVAL_MS = 20;
const MAX_POLLS = 1_500;
const UNAUTHORIZED = 401;

interface Fault {
  readonly name: string;
  /** Fault of the store during the withdrawal of the key. */
  readonly control: Control;
}

const STORE_FAULTS: readonly Fault[] = [
  { name: "none", control: {} },
  { name: "watches are silent", control: { silentWatches: true } },
  { name: "the store is slow", control: { slowMs: 300 } },
  { name: "answers are lost", control: { loseAnswers: { next: 2 } } },
];

function send(node: TestInstance, key: string) {
  return call(node.callers, {
    path: "/v1/request/recipe-check/x",
    headers: { authorization: `Bearer ${key}` },
  });
}

/** Sends requests until the key is refused; returns the elapsed milliseconds, or Infinity if it is not. */
async function refusalTime(
  node: TestInstance,
  key: string,
): Promise<number> {
  const start = performance.now();
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    const { status } = await send(node, key);
    if (status === UNAUTHORIZED) return Math.round(performance.now() - start);
    await pause(POLL_INTERVAL_MS);
  }
  return Infinity;
}

for (const { name, control } of STORE_FAULTS) {
  test.serial(`every instance refuses a withdrawn key; store fault: ${name}`, async (t) => {
    const { text, keys } = smallSet();
    const key = keys["counter"]!;
    const bed = await Testbed.start({
      instances: 3,
      workers: 2,
      zones: ["zone-1"],
      set: text,
    });
    t.teardown(() => bed.stop());
    for (const node of bed.instances) t.is((await send(node, key)).status, 200);
    await bed.control(bed.storeControl, "/control", control);
    const field = ["withdrawn", "true"] as const;
    await bed.publish(setField(text, "key counter-key", { field }));
    const elapsedMs = await Promise.all(
      bed.instances.map((node) => refusalTime(node, key)),
    );
    t.log(`milliseconds until refused: ${elapsedMs.join(", ")}`);
    t.true(elapsedMs.every(Number.isFinite));
    const other = await send(bed.instances[0]!, keys["billing"]!);
    t.is(other.status, 200);
  });
}

test.serial("a paused instance refuses a withdrawn key after it resumes", async (t) => {
  const { text, keys } = smallSet();
  const key = keys["counter"]!;
  const bed = await Testbed.start({
    instances: 3,
    workers: 2,
    zones: ["zone-1"],
    set: text,
  });
  t.teardown(() => bed.stop());
  const [paused, ...others] = bed.instances;
  paused!.process.child.kill("SIGSTOP");
  const field = ["withdrawn", "true"] as const;
  await bed.publish(setField(text, "key counter-key", { field }));
  for (const node of others) t.true(await refusalTime(node, key) < Infinity);
  paused!.process.child.kill("SIGCONT");
  const elapsedMs = await refusalTime(paused!, key);
  t.log(`milliseconds until refused: ${elapsedMs}`);
  t.true(elapsedMs < Infinity);
});
