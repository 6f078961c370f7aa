/**
 * The number of waiting submissions that the other machines give after the
 * leader's process is killed; see `claim.txt`.
 *
 * @module
 */
import { dirname } from "node:path";
import http from "node:http";
import { fileURLToPath } from "node:url";
import {
  BOUNDS,
  configurationOf,
  delay,
  elapsedMs,
  newId,
  Record,
  runCase,
  Site,
  TROUBLE,
} from "../6/kit.mjs";

const PREFIX = "/vuko41/";
const SUBMISSIONS = 60;
/** Age from which the rule counts a submission that has not begun, milliseconds. */
const COUNTED_AFTER_MS = BOUNDS["visible_ms"] + 2_000;
/** Interval between two questions to one machine, milliseconds. */
const ASK_INTERVAL_MS = 10;
const WATCH_MS = 6_000;

const record = new Record(dirname(fileURLToPath(import.meta.url)));

/** Asks one machine again and again until `untilMs`. */
async function ask(machine, { site, accepted, untilMs, answers }) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  while (elapsedMs() < untilMs) {
    // Counted before the request, less what has begun when the answer is there.
    const old = accepted.filter(({ atMs }) =>
      elapsedMs() - atMs > COUNTED_AFTER_MS
    );
    const answer = await machine.call("GET", PREFIX, { agent });
    const begun = new Set(site.starts.map(({ task }) => task.split(".")[0]));
    const waiting = old.filter(({ id }) => !begun.has(id)).length;
    answers.push({ machine: machine.name, waiting, ...answer });
    await delay(ASK_INTERVAL_MS);
  }
  agent.destroy();
}

async function submitAll(site) {
  const accepted = [];
  for (let number = 0; number < SUBMISSIONS; number++) {
    const id = newId(number);
    const machine = site.machines[number % site.machines.length];
    const steps = [{ count: 1, cpu: 8_000, "mem-mb": 100, "est-ms": 30_000 }];
    const body = { spec: "work-ms=30000", steps };
    const { status } = await machine.call("POST", PREFIX + id, { body });
    if (status !== 200) throw new Error("a submission was not accepted");
    accepted.push({ id, atMs: elapsedMs() });
  }
  record.add(`${SUBMISSIONS} submissions accepted, each of one worker's size`);
  return accepted;
}

async function play() {
  const site = new Site();
  await site.start({
    machines: 3,
    workers: Array.from({ length: 4 }, () => ({})),
    configuration: configurationOf([{ name: "r-batch", prefix: PREFIX }]),
  });
  record.add("3 machines are ready");
  const accepted = await submitAll(site);
  await delay(COUNTED_AFTER_MS + 1_000);
  const leader = site.leader();
  const others = site.machines.filter((machine) => machine !== leader);
  const answers = [];
  const untilMs = elapsedMs() + WATCH_MS;
  const asking = others.map((machine) =>
    ask(machine, { site, accepted, untilMs, answers })
  );
  await delay(1_000);
  if (TROUBLE) {
    record.add(`SIGKILL to ${leader.name}, process ${leader.child.pid}`);
    leader.child.kill("SIGKILL");
  }
  await Promise.all(asking);
  let broken = 0;
  const previous = new Map();
  for (const { machine, status, body, waiting, sentMs } of answers) {
    const isWrong = status === 200 && 2 * (body.waiting ?? 0) < waiting;
    if (isWrong) broken++;
    const line = `${status} ${JSON.stringify(body ?? null)}; ` +
      `${waiting} have waited for over ${COUNTED_AFTER_MS} ms` +
      (isWrong ? "; MIXED" : "");
    if (line !== previous.get(machine)) {
      record.add(`${machine} asked at ${sentMs} ms: ${line}`);
    }
    previous.set(machine, line);
  }
  record.add(`${broken} of ${answers.length} answers break the rule`);
  return broken > 0;
}

await runCase(play);
