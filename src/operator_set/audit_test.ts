import test from "ava";
import { auditSet } from "./audit.ts";
import { parseOperatorSet } from "./parse.ts";

const SALT = "0".repeat(32);
const HASH = "0".repeat(64);
const KEY = `[key k1]\nteam = shops\nsalt = ${SALT}\nhash = ${HASH}\n`;
const VALID_SET = `[team shops]
${KEY}
[queue counter]
urgency = urgent
teams = shops
[workload receipt]
kind = service
queue = counter
`;
const OTHER_KEY = KEY.replace("k1", "k2").replace("shops", "idle");

function audit(text: string): string[] {
  const set = parseOperatorSet(text, { file: "set.ini" })._unsafeUnwrap();
  return [...auditSet(set)].map(({ type, object }) => `${type} ${object}`);
}

/** Sets that pass the checks, with the findings of the audit. */
const CASES: readonly {
  readonly name: string;
  readonly text: string;
  readonly findings: readonly string[];
}[] = [
  { name: "none in a set without mistakes", text: VALID_SET, findings: [] },
  {
    name: "a team that no queue lists, with its key, share and limit",
    text:
      `${VALID_SET}[team idle]\n${OTHER_KEY}[share s]\nteam = idle\nweight = 1\n` +
      "[limit l]\nteam = idle\nrunning = 5\n",
    findings: [
      "neverMatches team idle",
      "neverMatches key k2",
      "neverMatches share s",
      "neverMatches limit l",
    ],
  },
  {
    name: "a queue without a workload",
    text: `${VALID_SET}[queue spare]\nurgency = deferred\nteams = shops\n`,
    findings: ["neverMatches queue spare"],
  },
  {
    name: "a queue whose keys are all withdrawn",
    text: VALID_SET.replace(HASH, `${HASH}\nwithdrawn = true`),
    findings: ["neverMatches queue counter"],
  },
  {
    name: "none for an open queue without a key",
    text: VALID_SET.replace(KEY, "").replace("teams =", "open = true\nteams ="),
    findings: [],
  },
  {
    name: "more replicas than the limit of the teams",
    text: `${VALID_SET}replicas = 6\n[limit l]\nteam = shops\nrunning = 5\n`,
    findings: ["contradiction workload receipt"],
  },
  {
    name: "attempts that may exceed the due time",
    text:
      `${VALID_SET}[workload bill]\nkind = batch\nqueue = counter\ntimeout = 10s\nattempts = 3\ndue = 20s\n`,
    findings: ["contradiction workload bill"],
  },
  {
    name: "two drains of one worker",
    text: `${VALID_SET}[drain a]\nworker = w-1\n[drain b]\nworker = w-1\n`,
    findings: ["redundant drain b"],
  },
];

for (const { name, text, findings } of CASES) {
  test(`audit findings: ${name}`, (t) => {
    t.deepEqual(audit(text), findings);
  });
}
