/** Counts the requests in flight at one server, in total and by slice. */
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
    const remaining = (this.#bySlice.get(slice) ?? 1) - 1
    if (remaining === 0) this.#bySlice.delete(slice)
    else this.#bySlice.set(slice, remaining)
  }

  slices (): number[] {
    return [...this.#bySlice.keys()]
  }

  /** Reports whether a request is in flight for a slice that is not in `kept`. */
  hasSliceOutside (kept: ReadonlySet<number>): boolean {
    return this.slices().some((slice) => !kept.has(slice))
  }
}
