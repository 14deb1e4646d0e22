package org.nutmegspring.commandline

import java.io.File

/** A settings file that may change without a signal. The time of its last change is read before its text is. */
internal class SettingsFile(val file: File) {
    private var modifiedAt = file.lastModified()

    /** Whether the file has changed since this object was created or this function was last called. */
    fun hasChanged(): Boolean {
        val modified = file.lastModified()
        return (modified != modifiedAt).also { modifiedAt = modified }
    }
}
