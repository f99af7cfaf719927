/** Counts of the requests in flight at one server, in all and by slice. */
export class InFlightRequests {
  readonly #bySlice = new Map<number, number>()
  #total = 0

  get total (): number { return this.#total }

  begin (slice: number | null): void {
    this.#total++
    if (slice !== null) this.#bySlice.set(slice, (this.#bySlice.get(slice) ?? 0) + 1)
  }

  end (slice: number | null): void {
    this.#total--
    if (slice === null) return
    const left = (this.#bySlice.get(slice) ?? 1) - 1
    if (left === 0) this.#bySlice.delete(slice)
    else this.#bySlice.set(slice, left)
  }

  slices (): number[] {
    return [...this.#bySlice.keys()]
  }

  /** Whether a request of a slice outside `kept` is in flight. */
  hasSliceOutside (kept: ReadonlySet<number>): boolean {
    return this.slices().some((slice) => !kept.has(slice))
  }
}
