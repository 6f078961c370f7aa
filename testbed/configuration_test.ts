import test from "ava";
import { setField } from "../src/cli/set_edit.ts";
import type { Control } from "../standins/store/faults.ts";
import { call } from "./http.ts";
import { smallSet } from "./small_set.ts";
import { type Node, pause, Testbed } from "./testbed.ts";

const POLL_MS = 20;
const POLLS = 1_500;
const REFUSED = 401;

interface Fault {
  readonly name: string;
  /** Fault of the store while the key is withdrawn. */
  readonly control: Control;
}

const faults: readonly Fault[] = [
  { name: "none", control: {} },
  { name: "watches are silent", control: { silentWatches: true } },
  { name: "the store is slow", control: { slowMs: 300 } },
  { name: "answers are lost", control: { loseAnswers: { next: 2 } } },
];

function ask(node: Node, key: string) {
  return call(node.callers, {
    path: "/v1/request/recipe-check/x",
    headers: { authorization: `Bearer ${key}` },
  });
}

/** Asks until the key is refused; gives the milliseconds that it took. */
async function refused(node: Node, key: string): Promise<number> {
  const start = performance.now();
  for (let poll = 0; poll < POLLS; poll++) {
    const { status } = await ask(node, key);
    if (status === REFUSED) return Math.round(performance.now() - start);
    await pause(POLL_MS);
  }
  return Infinity;
}

for (const { name, control } of faults) {
  test.serial(`a withdrawn key stops working everywhere: ${name}`, async (t) => {
    const { text, keys } = smallSet();
    const key = keys["counter"]!;
    const bed = await Testbed.start({
      instances: 3,
      workers: 2,
      zones: ["zone-1"],
      set: text,
    });
    t.teardown(() => bed.stop());
    for (const node of bed.nodes) t.is((await ask(node, key)).status, 200);
    await bed.control(bed.storeControl, "/control", control);
    const field = ["withdrawn", "true"] as const;
    await bed.publish(setField(text, "key counter-key", { field }));
    const took = await Promise.all(
      bed.nodes.map((node) => refused(node, key)),
    );
    t.log(`milliseconds until refused: ${took.join(", ")}`);
    t.true(took.every(Number.isFinite));
    const other = await ask(bed.nodes[0]!, keys["billing"]!);
    t.is(other.status, 200);
  });
}

test.serial("a paused instance refuses a withdrawn key once it is back", async (t) => {
  const { text, keys } = smallSet();
  const key = keys["counter"]!;
  const bed = await Testbed.start({
    instances: 3,
    workers: 2,
    zones: ["zone-1"],
    set: text,
  });
  t.teardown(() => bed.stop());
  const [paused, ...others] = bed.nodes;
  paused!.process.child.kill("SIGSTOP");
  const field = ["withdrawn", "true"] as const;
  await bed.publish(setField(text, "key counter-key", { field }));
  for (const node of others) t.true(await refused(node, key) < Infinity);
  paused!.process.child.kill("SIGCONT");
  const took = await refused(paused!, key);
  t.log(`milliseconds until refused: ${took}`);
  t.true(took < Infinity);
});
