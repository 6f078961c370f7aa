import test from "ava";
import { ManualClock } from "../clock.ts";
import { heartbeatIntervalMs, LeaderMonitor } from "./leader_monitor.ts";

function startMonitor(members: number): {
  readonly clock: ManualClock;
  readonly monitor: LeaderMonitor;
} {
  const clock = new ManualClock();
  return { clock, monitor: new LeaderMonitor(clock, () => members) };
}

test("a watcher detects a silent leader as soon among 300 members as among 3", (t) => {
  for (const members of [3, 97, 300]) {
    const { clock, monitor } = startMonitor(members);
    monitor.recordHeartbeat({ watches: true });
    clock.advance(300);
    t.true(monitor.hasContact, `${members} members`);
    clock.advance(200);
    t.true(monitor.isSilent(0), `${members} members`);
  }
});

test("a member that is not a watcher waits for three of its longer intervals", (t) => {
  const { clock, monitor } = startMonitor(300);
  monitor.recordHeartbeat({ watches: false });
  clock.advance(3 * heartbeatIntervalMs(300));
  t.false(monitor.isSilent(0));
  clock.advance(100);
  t.true(monitor.isSilent(0));
});

test("no instance is a watcher before the first heartbeat of a new leader", (t) => {
  const { monitor } = startMonitor(97);
  monitor.recordHeartbeat({ watches: true });
  t.true(monitor.isWatcher);
  monitor.recordNewLeader();
  t.false(monitor.isWatcher);
});
