package org.nutmegspring.commandline

import org.junit.jupiter.api.Nested
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CommandLineSpec {
    private val out = ByteArrayOutputStream()
    private val err = ByteArrayOutputStream()

    private fun run(vararg arguments: String): ExitCode =
        CommandLine(PrintStream(out), PrintStream(err)).run(arguments.toList())

    @Nested
    inner class `given a wrong call` {
        @Test
        fun `no command ends with the usage code and lists the commands`() {
            assertEquals(ExitCode.USAGE, run())
            assertContains(err.toString(), "serve")
        }

        @Test
        fun `an unknown command is answered with the nearest one`() {
            assertEquals(ExitCode.USAGE, run("sevre"))
            assertContains(err.toString(), "did you mean 'serve'?")
        }

        @Test
        fun `an unknown option ends with the usage code`() {
            assertEquals(ExitCode.USAGE, run("serve", "--colour"))
            assertContains(err.toString(), "colour")
        }

        @Test
        fun `a missing file ends with the usage code and names the file`() {
            assertEquals(ExitCode.USAGE, run("check", "no-such-file.yml"))
            assertContains(err.toString(), "no-such-file.yml: file: cannot be read")
        }

        @Test
        fun `an unknown measure ends with the usage code`() {
            assertEquals(ExitCode.USAGE, run("measure", "nothing"))
        }
    }

    @Nested
    inner class `given a right call` {
        @Test
        fun `help ends well`() {
            assertEquals(ExitCode.SUCCESS, run("--help"))
            assertEquals(ExitCode.SUCCESS, run("serve", "--help"))
            assertContains(out.toString(), "--settings")
        }

        @Test
        fun `the demo makes its calls and ends well`() {
            assertEquals(ExitCode.SUCCESS, run("demo", "--once"), out.toString())
            assertContains(out.toString(), "data: [DONE]")
        }
    }
}
