import { readFileSync } from "node:fs";
import test from "ava";
import { commands } from "./cli/commands/index.ts";
import { exitCodes } from "./cli/failures.ts";
import { documentSchema } from "./ini/schema.ts";
import { objectSchemas, workloadSchemas } from "./operator_set/schemas.ts";
import { settingsSchemas } from "./settings_schemas.ts";

/** Collapses spaces and dashes, so that the padding of tables does not matter. */
function collapsePadding(text: string): string {
  return text.replaceAll(/ +/g, " ").replaceAll(/-+/g, "-");
}

const settingsPage = collapsePadding(readFileSync("docs/settings.md", "utf8"));
const toolPage = collapsePadding(readFileSync("docs/cli.md", "utf8"));

const schemas = { ...settingsSchemas, ...objectSchemas, ...workloadSchemas };

for (const [name, schema] of Object.entries(schemas)) {
  test(`settings page: ${name}`, (t) => {
    t.true(
      settingsPage.includes(collapsePadding(documentSchema(schema).join("\n"))),
    );
  });
}

test("tool page: commands", (t) => {
  for (const command of commands) {
    t.true(
      toolPage.includes(`\`${collapsePadding(command.name)}`),
      command.name,
    );
    t.true(toolPage.includes(collapsePadding(command.summary)), command.name);
  }
});

test("tool page: exit codes", (t) => {
  for (const code of Object.values(exitCodes)) {
    t.regex(toolPage, new RegExp(`^\\| ${code} \\|`, "m"));
  }
});
