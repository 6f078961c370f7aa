import test from "ava";
import { Instances } from "./_instances_test.ts";

/** Longest time from the silence of a holder to the next hold, milliseconds. */
const REPLACED_MS = 700;

/** An instance that holds the cell among many. */
async function worldOf(members: number): Promise<Instances> {
  const world = new Instances();
  world.start("a", { cores: 1.35 });
  await world.clock.run(1_000);
  for (let index = 1; index < members; index++) {
    const cores = index % 6 === 0 ? 1.35 : 0.3;
    world.start(`m${index}`, { cores });
  }
  await world.clock.run(3_000);
  return world;
}

for (const members of [97, 300]) {
  test(`a silent holder of ${members} instances is replaced as soon as one of a few`, async (t) => {
    const world = await worldOf(members);
    t.deepEqual([...world.holding], ["a"]);
    world.network.cut.add("a");
    await world.clock.run(REPLACED_MS);
    t.deepEqual(world.fences, [1, 2]);
  });
}

test("a watcher that alone misses the holder does not replace it", async (t) => {
  const world = await worldOf(97);
  const told: string[] = [];
  world.network.onCall = (method, from, to) => {
    if (method === "cell.status" && from === "a") told.push(to);
  };
  await world.clock.run(1_000);
  const counts = new Map<string, number>();
  for (const name of told) counts.set(name, (counts.get(name) ?? 0) + 1);
  const [watcher] = [...counts].sort((a, b) => b[1] - a[1])[0]!;
  world.network.cut.add(watcher);
  await world.clock.run(2_000);
  t.deepEqual([...world.holding], ["a"]);
});

test("a few instances are told often, the others seldom", async (t) => {
  const world = await worldOf(97);
  const counts = new Map<string, number>();
  world.network.onCall = (method, from, to) => {
    if (method !== "cell.status" || from !== "a") return;
    counts.set(to, (counts.get(to) ?? 0) + 1);
  };
  await world.clock.run(2_000);
  const often = [...counts.values()].filter((count) => count >= 18).length;
  t.is(often, 8);
  const all = [...counts.values()].reduce((sum, count) => sum + count, 0);
  t.true(all < 800, String(all));
});
