/** The file operations of the storage, which a test can replace by a simulated disk. */
import * as fs from 'node:fs/promises'

/** An open file or folder. */
export interface IFileHandle {
  appendFile(data: Uint8Array): Promise<void>
  writeFile(data: Uint8Array): Promise<void>
  truncate(bytes: number): Promise<void>
  stat(): Promise<{ readonly size: number }>
  sync(): Promise<void>
  datasync(): Promise<void>
  close(): Promise<void>
}

/** Files and folders by their paths; failed calls throw errors with the codes of Node.js. */
export interface IFileSystem {
  mkdir(folder: string, options: { readonly recursive: true }): Promise<unknown>
  open(file: string, flags: 'a' | 'r' | 'r+' | 'w'): Promise<IFileHandle>
  readFile(file: string): Promise<Buffer>
  rename(from: string, to: string): Promise<void>
}

/** The file system of the machine. */
export const machineFileSystem: IFileSystem = fs
