/** Checkers of the usage reports and target orders that reached the platform. */
import type { Violation } from './request-checkers';

/** A call that a fake of the platform recorded. */
export interface PlatformEvent {
  /** The platform's service, such as `usage`. */
  readonly service: string;
  readonly op: string;
  readonly window?: number | string;
  readonly reportId?: string;
  readonly figures?: unknown;
  readonly fencing?: number;
  readonly zone?: string;
  readonly orderId?: string;
}

/**
 * Checks the invariants of usage reports and target orders.
 *
 * @param events - the recorded calls, in the order of arrival
 * @returns the violations
 */
export function checkPlatformEvents(events: readonly PlatformEvent[]): Violation[] {
  const reports = events.filter((event) => event.service === 'usage' && event.op === 'report');
  const orders = events.filter((event) => event.service === 'orders' && event.op === 'order');
  return [
    ...checkUsageWindows(reports),
    ...checkFencing('usage reports never come from a former holder', reports, () => 'usage'),
    ...checkFencing('orders never come from a former holder', orders, (event) => event.zone ?? ''),
  ];
}

/** Checks that all reports of a window have the same id and figures. */
function checkUsageWindows(reports: readonly PlatformEvent[]): Violation[] {
  const firstByWindow = new Map<string, string>();
  return reports.flatMap((report) => {
    const window = String(report.window);
    const figures = JSON.stringify([report.reportId, report.figures]);
    const first = firstByWindow.get(window) ?? figures;
    firstByWindow.set(window, first);
    if (first === figures) return [];
    return [{ promise: 'all reports of a window are equal', request: window, detail: figures }];
  });
}

/** Checks that fencing numbers never decrease within a scope. */
function checkFencing(
  invariant: string,
  events: readonly PlatformEvent[],
  getScope: (event: PlatformEvent) => string,
): Violation[] {
  const highestByScope = new Map<string, number>();
  return events.flatMap((event) => {
    const scope = getScope(event);
    const highest = highestByScope.get(scope) ?? -1;
    const fencing = event.fencing ?? -1;
    highestByScope.set(scope, Math.max(highest, fencing));
    if (fencing >= highest) return [];
    return [{ promise: invariant, request: scope, detail: `fencing ${fencing} after ${highest}` }];
  });
}
