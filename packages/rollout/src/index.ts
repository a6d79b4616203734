/** Trainers, steps, samples and weight versions. */
export {};
