/** Sums usage figures by team and service. */
import type { UsageFigure } from '@hibiscushill/log';
import * as Ord from 'fp-ts/Ord';
import { pipe } from 'fp-ts/function';
import * as A from 'fp-ts/ReadonlyArray';
import * as S from 'fp-ts/string';

const byTeam = pipe(
  S.Ord,
  Ord.contramap((figure: UsageFigure) => figure.team as string),
);
const byService = pipe(
  S.Ord,
  Ord.contramap((figure: UsageFigure) => figure.service as string),
);

/**
 * Sums figures so that there is one for each pair of team and service.
 *
 * @param parts - the figures to sum
 * @returns the sums, sorted by team and then by service
 */
export function sumFigures(parts: readonly UsageFigure[]): UsageFigure[] {
  const sums = new Map<string, UsageFigure>();
  parts.forEach(({ team, service, requests, tokens }) => {
    const key = JSON.stringify([team, service]);
    const sum = sums.get(key) ?? { team, service, requests: 0, tokens: 0 };
    sums.set(key, {
      team,
      service,
      requests: sum.requests + requests,
      tokens: sum.tokens + tokens,
    });
  });
  return [...pipe([...sums.values()], A.sortBy([byTeam, byService]))];
}
