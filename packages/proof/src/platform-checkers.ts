/** Checkers of what reached the platform. */
import type { Violation } from './request-checkers';

/** Something that a stand-in of the platform saw, in the order of arrival. */
export interface PlatformEvent {
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
 * Checks orders and reports.
 *
 * @param events - what the platform saw
 * @returns what was broken
 */
export function checkPlatform(events: readonly PlatformEvent[]): Violation[] {
  const reports = events.filter((event) => event.service === 'usage' && event.op === 'report');
  const orders = events.filter((event) => event.service === 'orders' && event.op === 'order');
  return [
    ...checkWindows(reports),
    ...checkFencing('usage is reported by one process', reports, () => 'usage'),
    ...checkFencing('orders come from one process', orders, (event) => event.zone ?? ''),
  ];
}

function checkWindows(reports: readonly PlatformEvent[]): Violation[] {
  const first = new Map<string, string>();
  return reports.flatMap((report) => {
    const window = String(report.window);
    const figures = JSON.stringify([report.reportId, report.figures]);
    const known = first.get(window) ?? figures;
    first.set(window, known);
    if (known === figures) return [];
    return [{ promise: 'one set of figures a window', request: window, detail: figures }];
  });
}

function checkFencing(
  promise: string,
  events: readonly PlatformEvent[],
  scopeOf: (event: PlatformEvent) => string,
): Violation[] {
  const highest = new Map<string, number>();
  return events.flatMap((event) => {
    const scope = scopeOf(event);
    const known = highest.get(scope) ?? -1;
    const fencing = event.fencing ?? -1;
    highest.set(scope, Math.max(known, fencing));
    if (fencing >= known) return [];
    return [{ promise, request: scope, detail: `${fencing} after ${known}` }];
  });
}
