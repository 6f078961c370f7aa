import test from "ava";
import { ManualClock } from "../../clock.ts";
import { NO_AMOUNTS, type Team } from "../types.ts";
import { TeamShareMeter } from "./team_share.ts";

function team(name: string, weight: number): Team {
  return { name, keys: [], weight, limit: NO_AMOUNTS };
}

test("a team that submits five times its weight is within its share only up to its weight", (t) => {
  const clock = new ManualClock();
  const meter = new TeamShareMeter(clock);
  const heavy = team("hot", 20);
  const normal = team("calm", 20);
  let withinShare = 0;
  let normalWithinShare = 0;
  const seconds = 8;
  for (let sent = 0; sent < 100 * seconds; sent++) {
    clock.advance(10);
    if (meter.tryConsume(heavy)) withinShare++;
    if (sent % 10 === 0 && meter.tryConsume(normal)) normalWithinShare++;
  }
  // The bucket holds at most two seconds of the team's weight.
  t.true(
    withinShare >= 20 * seconds && withinShare <= 20 * (seconds + 2),
    String(withinShare),
  );
  t.is(normalWithinShare, 10 * seconds);
});

test("a team without a weight is always within its share", (t) => {
  const meter = new TeamShareMeter(new ManualClock());
  t.true(meter.tryConsume(team("free", 0)));
  t.true(meter.tryConsume(undefined));
});
