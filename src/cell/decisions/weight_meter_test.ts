import test from "ava";
import { ManualClock } from "../../clock.ts";
import { NO_AMOUNTS, type Team } from "../types.ts";
import { WeightMeter } from "./weight_meter.ts";

function team(name: string, weight: number): Team {
  return { name, keys: [], weight, limit: NO_AMOUNTS };
}

test("a team that sends five times its weight gets its weight", (t) => {
  const clock = new ManualClock();
  const meter = new WeightMeter(clock);
  const hot = team("hot", 20);
  const calm = team("calm", 20);
  let owed = 0;
  let calmOwed = 0;
  const seconds = 8;
  for (let sent = 0; sent < 100 * seconds; sent++) {
    clock.advance(10);
    if (meter.withinWeight(hot)) owed++;
    if (sent % 10 === 0 && meter.withinWeight(calm)) calmOwed++;
  }
  // What it may save up is two seconds' worth.
  t.true(owed >= 20 * seconds && owed <= 20 * (seconds + 2), String(owed));
  t.is(calmOwed, 10 * seconds);
});

test("a team without a weight is always within it", (t) => {
  const meter = new WeightMeter(new ManualClock());
  t.true(meter.withinWeight(team("free", 0)));
  t.true(meter.withinWeight(undefined));
});
