import test from "ava";
import { ManualClock } from "../clock.ts";
import { HolderNews, statusEveryMs } from "./holder_news.ts";

const WAITING = [] as const;

function newsOf(members: number): {
  readonly clock: ManualClock;
  readonly news: HolderNews;
} {
  const clock = new ManualClock();
  return { clock, news: new HolderNews(clock, () => members) };
}

test("a watcher misses the holder as soon among 300 members as among 3", (t) => {
  for (const members of [3, 97, 300]) {
    const { clock, news } = newsOf(members);
    news.told({ waiting: WAITING, watches: true });
    clock.advance(300);
    t.true(news.hears, `${members} members`);
    clock.advance(200);
    t.true(news.isSilent(0), `${members} members`);
  }
});

test("others wait for three of their own statuses", (t) => {
  const { clock, news } = newsOf(300);
  news.told({ waiting: WAITING, watches: false });
  clock.advance(3 * statusEveryMs(300));
  t.false(news.isSilent(0));
  clock.advance(100);
  t.true(news.isSilent(0));
});

test("nobody watches a holder that has told nothing yet", (t) => {
  const { news } = newsOf(97);
  news.told({ waiting: WAITING, watches: true });
  t.true(news.watches);
  news.heardOf();
  t.false(news.watches);
});
