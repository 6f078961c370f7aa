import test from "ava";
import { Instances } from "./_instances_test.ts";

/** Longest time from the start of a leader's silence to the next term, milliseconds. */
const MAX_REPLACEMENT_MS = 700;

/** Starts `members` instances, of which `a` leads. */
async function startInstances(members: number): Promise<Instances> {
  const harness = new Instances();
  harness.start("a", { cores: 1.35 });
  await harness.clock.run(1_000);
  for (let index = 1; index < members; index++) {
    const cores = index % 6 === 0 ? 1.35 : 0.3;
    harness.start(`m${index}`, { cores });
  }
  await harness.clock.run(3_000);
  return harness;
}

for (const members of [97, 300]) {
  test(`a silent leader among ${members} instances is replaced within 700 ms`, async (t) => {
    const harness = await startInstances(members);
    t.deepEqual([...harness.leaders], ["a"]);
    harness.network.cut.add("a");
    await harness.clock.run(MAX_REPLACEMENT_MS);
    t.deepEqual(harness.fences, [1, 2]);
  });
}

test("a watcher that alone has lost contact with the leader does not replace it", async (t) => {
  const harness = await startInstances(97);
  const receivers: string[] = [];
  harness.network.onCall = (method, from, to) => {
    if (method === "cell.status" && from === "a") receivers.push(to);
  };
  await harness.clock.run(1_000);
  const counts = new Map<string, number>();
  for (const name of receivers) counts.set(name, (counts.get(name) ?? 0) + 1);
  const [watcher] = [...counts].sort((a, b) => b[1] - a[1])[0]!;
  harness.network.cut.add(watcher);
  await harness.clock.run(2_000);
  t.deepEqual([...harness.leaders], ["a"]);
});

test("8 instances receive frequent heartbeats, the others rarer ones", async (t) => {
  const harness = await startInstances(97);
  const counts = new Map<string, number>();
  harness.network.onCall = (method, from, to) => {
    if (method !== "cell.status" || from !== "a") return;
    counts.set(to, (counts.get(to) ?? 0) + 1);
  };
  await harness.clock.run(2_000);
  const often = [...counts.values()].filter((count) => count >= 18).length;
  t.is(often, 8);
  const all = [...counts.values()].reduce((sum, count) => sum + count, 0);
  t.true(all < 800, String(all));
});
