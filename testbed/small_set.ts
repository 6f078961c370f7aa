/**
 * Small operator set with an API key for each team.
 *
 * @module
 */
import { issueKey } from "../src/operator_set/keys.ts";

/** Text of the set and the API keys of callers. */
export interface SmallSet {
  readonly text: string;
  /** API keys, as callers present them, by team. */
  readonly keys: Readonly<Record<string, string>>;
}

/** Teams in the set. */
export const TEAMS = ["counter", "billing", "imports"] as const;

/** Creates the set with new keys; `limits` is the maximum number of running tasks by team. */
export function smallSet(
  options: { readonly limits?: Readonly<Record<string, number>> } = {},
): SmallSet {
  const issued = TEAMS.map((team) => issueKey(`${team}-key`, team));
  const keys = Object.fromEntries(
    issued.map(({ key, presented }) => [key.team, presented]),
  );
  const keySections = issued.map(({ key }) =>
    `[key ${key.name}]\nteam = ${key.team}\nsalt = ${key.salt}\nhash = ${key.hash}\n`
  );
  const teams = TEAMS.map((team) => `[team ${team}]\naccount = ${team}\n`);
  const limits = Object.entries(options.limits ?? {}).map(([team, running]) =>
    `[limit ${team}]\nteam = ${team}\nrunning = ${running}\n`
  );
  const text = [...teams, ...keySections, ...limits, QUEUES_AND_WORKLOADS].join(
    "\n",
  );
  return { text, keys };
}

const QUEUES_AND_WORKLOADS = `
[queue urgent]
urgency = urgent
teams = counter, billing, imports
max_waiting = 2000
max_wait = 5s

[queue deferred]
urgency = deferred
teams = counter, billing, imports

[workload receipt-print]
kind = service
queue = urgent
cpu = 1
memory = 1GiB
idempotent = false
timeout = 5s
path = /print

[workload recipe-check]
kind = service
queue = urgent
cpu = 1
memory = 1GiB
idempotent = true
timeout = 5s
path = /check

[workload billing-run]
kind = batch
queue = deferred
cpu = 2
memory = 2GiB
idempotent = true
timeout = 60s
attempts = 5

[workload price-import]
kind = batch
queue = deferred
cpu = 1
memory = 1GiB
idempotent = false
timeout = 60s
attempts = 1

[workload fleet-image]
kind = gang
queue = deferred
cpu = 4
memory = 4GiB
idempotent = true
timeout = 60s
attempts = 5
tasks = 6
`;
