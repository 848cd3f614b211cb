package postbeam.cli;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.MalformedURLException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs the program again in this virtual machine, with the libraries that a serving router does not
 * need. They are not on the class path of the jar, as the virtual machine opens each jar there at
 * startup and keeps its table of contents; without them, a router starts faster.
 */
final class ExtendedClassPathLauncher {
    private static final String CORE_LIBRARIES = "lib";
    private static final String EXTRA_LIBRARIES = "more";

    private ExtendedClassPathLauncher() {}

    /**
     * Runs the program with all libraries, unless it already has them or they are not installed.
     *
     * @return whether the program was run, so that the caller has nothing left to do
     * @throws IllegalStateException if the libraries can't be used, or the program failed
     */
    static boolean relaunchIfNeeded(String[] args) {
        try {
            Path jar =
                    Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            Path extraLibraries = jar.resolveSibling(EXTRA_LIBRARIES);
            if (Main.class.getClassLoader() instanceof URLClassLoader
                    || !Files.isDirectory(extraLibraries)) {
                return false;
            }
            List<URL> classPath = new ArrayList<>();
            classPath.add(url(jar));
            addJars(classPath, jar.resolveSibling(CORE_LIBRARIES));
            addJars(classPath, extraLibraries);
            run(args, classPath);
            return true;
        } catch (IOException | URISyntaxException | ReflectiveOperationException e) {
            Throwable cause = e instanceof InvocationTargetException ? e.getCause() : e;
            throw new IllegalStateException(
                    "can't load the libraries in the directories lib and more beside the jar, or"
                            + " the program itself failed",
                    cause);
        }
    }

    private static void addJars(List<URL> classPath, Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> jars =
                    files.filter(file -> file.toString().endsWith(".jar")).sorted().toList();
            for (Path jar : jars) {
                classPath.add(url(jar));
            }
        }
    }

    private static URL url(Path file) throws MalformedURLException {
        return file.toUri().toURL();
    }

    private static void run(String[] args, List<URL> classPath)
            throws ReflectiveOperationException {
        ClassLoader loader =
                new URLClassLoader(
                        classPath.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
        Thread.currentThread().setContextClassLoader(loader);
        loader.loadClass(Main.class.getName())
                .getMethod("main", String[].class)
                .invoke(null, (Object) args);
    }
}
