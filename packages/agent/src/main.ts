/** The program. */
export {};
