/** Parses the load reports that targets add to responses in the `endpoint-load-metrics` header of ORCA. */

const maxReportLength = 1024
const utilizationNames = ['application_utilization', 'cpu_utilization'] as const

/** Returns the utilization from a report in JSON or TEXT format; undefined when it holds none. */
export function parseUtilization (header: string): number | undefined {
  if (header.length > maxReportLength) return undefined
  if (header.startsWith('JSON')) return fromJson(header.slice('JSON'.length))
  if (header.startsWith('TEXT')) return fromText(header.slice('TEXT'.length))
  return undefined
}

function fromJson (text: string): number | undefined {
  try {
    const report = JSON.parse(text) as Readonly<Record<string, unknown>> | null
    return firstUtilization((name) => report?.[name])
  } catch {
    return undefined
  }
}

function fromText (text: string): number | undefined {
  const pairs = new Map(text.split(',').map((pair): [string, string] => {
    const [name = '', value = ''] = pair.split('=')
    return [name.trim(), value.trim()]
  }))
  return firstUtilization((name) => Number(pairs.get(name) ?? NaN))
}

function firstUtilization (read: (name: string) => unknown): number | undefined {
  for (const name of utilizationNames) {
    const value = read(name)
    if (typeof value === 'number' && Number.isFinite(value) && value >= 0) return value
  }
  return undefined
}
