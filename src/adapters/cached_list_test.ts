import test from "ava";
import { errAsync, okAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import type { FleetList, FleetSnapshot } from "../ports/list.ts";
import { CachedList } from "./cached_list.ts";

const empty: FleetSnapshot = { workers: [], instances: [] };

test("list: reads within the maximum age share one result", async (t) => {
  const clock = new ManualClock();
  let reads = 0;
  const list: FleetList = {
    read() {
      reads++;
      return okAsync(empty);
    },
  };
  const shared = new CachedList(list, clock);
  t.true((await shared.read()).isOk());
  clock.advance(500);
  t.true((await shared.read()).isOk());
  t.is(reads, 1);
  clock.advance(500);
  await shared.read();
  t.is(reads, 2);
});

test("list: a failure is read again after the maximum age", async (t) => {
  const clock = new ManualClock();
  const answers = [
    errAsync({ type: "listUnavailable", message: "away" } as const),
    okAsync(empty),
  ];
  const shared = new CachedList({ read: () => answers.shift()! }, clock);
  t.true((await shared.read()).isErr());
  clock.advance(1_000);
  t.true((await shared.read()).isOk());
});
