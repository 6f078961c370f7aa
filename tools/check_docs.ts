/**
 * `node dist/tools/check_docs.js [DIRECTORY]`: checks that the links, anchors, npm
 * scripts, benchmarks and files mentioned in Markdown pages exist. Prints each
 * problem and exits with status 1 if there is any.
 *
 * @module
 */
import process from "node:process";
import { checkPages } from "./references.ts";

const { passed, problems } = checkPages(process.argv[2] ?? ".");
for (const { page, line, message } of problems) {
  console.log(`${page}:${line}: ${message}`);
}
console.log(`${passed} passed, ${problems.length} failed`);
process.exitCode = problems.length > 0 ? 1 : 0;
