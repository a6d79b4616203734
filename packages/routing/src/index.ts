/** Target choice, limits, queues, retries and ejection. */
export {};
