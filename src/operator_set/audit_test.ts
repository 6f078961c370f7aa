import test from "ava";
import { auditSet } from "./audit.ts";
import { parseOperatorSet } from "./parse.ts";

const SALT = "0".repeat(32);
const HASH = "0".repeat(64);
const KEY = `[key k1]\nteam = shops\nsalt = ${SALT}\nhash = ${HASH}\n`;
const SOUND = `[team shops]
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

/** Sets that pass the checks and still have an entry without effect. */
const ROWS: readonly {
  readonly name: string;
  readonly text: string;
  readonly findings: readonly string[];
}[] = [
  { name: "nothing in a sound set", text: SOUND, findings: [] },
  {
    name: "a team that no queue names, with its key, share and limit",
    text:
      `${SOUND}[team idle]\n${OTHER_KEY}[share s]\nteam = idle\nweight = 1\n` +
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
    text: `${SOUND}[queue spare]\nurgency = deferred\nteams = shops\n`,
    findings: ["neverMatches queue spare"],
  },
  {
    name: "a queue whose keys are all withdrawn",
    text: SOUND.replace(HASH, `${HASH}\nwithdrawn = true`),
    findings: ["neverMatches queue counter"],
  },
  {
    name: "no key for an open queue",
    text: SOUND.replace(KEY, "").replace("teams =", "open = true\nteams ="),
    findings: [],
  },
  {
    name: "replicas beyond the limit of the teams",
    text: `${SOUND}replicas = 6\n[limit l]\nteam = shops\nrunning = 5\n`,
    findings: ["contradiction workload receipt"],
  },
  {
    name: "attempts that outlast the due time",
    text:
      `${SOUND}[workload bill]\nkind = batch\nqueue = counter\ntimeout = 10s\nattempts = 3\ndue = 20s\n`,
    findings: ["contradiction workload bill"],
  },
  {
    name: "two drains of one worker",
    text: `${SOUND}[drain a]\nworker = w-1\n[drain b]\nworker = w-1\n`,
    findings: ["redundant drain b"],
  },
];

for (const { name, text, findings } of ROWS) {
  test(`finds ${name}`, (t) => {
    t.deepEqual(audit(text), findings);
  });
}
